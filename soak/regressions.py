"""Seeds that once broke a promise, each with what was wrong."""

REGRESSIONS: dict[int, str] = {
    2: "an overtaken report brought back an ended run; its worker stayed unused",
    3: "the same as seed 2, under a store that was down",
    7: "requests left at the end of a planned stop were answered 500",
    10: "the same as seed 25",
    11: "a run started in a worker's new life was taken for lost and started again",
    21: "a failed call to a closed client stalled the daemon for seconds",
    24: "the same as seed 21",
    25: "a daemon had no link to a peer that went on using an older one",
}
