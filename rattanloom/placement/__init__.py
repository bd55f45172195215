"""Where jobs wait, and how their tasks are ordered on workers."""
