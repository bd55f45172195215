"""Settings of the operators' command line."""

from attrs import field, frozen
from attrs.validators import deep_mapping

from rattanloom.configuration_publish import RETRY_TIMEOUT_MS
from rattanloom.settings import validate_address, validate_name
from rattanloom.validation import in_range


@frozen
class OperatorSettings:
    """The operator's name, and the addresses of the platform and entry hosts.

    ``entry_addresses`` maps each entry host's name to its HTTP address.
    ``timeout_ms`` bounds each request. Publishing retries calls to the platform for
    ``publish_within_ms``.
    """

    operator: str = field(validator=validate_name)
    platform_address: str = field(validator=validate_address)
    entry_addresses: dict[str, str] = field(
        factory=dict, validator=deep_mapping(validate_name, validate_address)
    )
    publish_within_ms: int = field(
        default=RETRY_TIMEOUT_MS, validator=in_range(0, 600_000)
    )
    timeout_ms: int = field(default=1_000, validator=in_range(10, 60_000))
