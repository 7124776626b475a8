package command

// ExitStatus describes the exit codes of a server program, for its manual page.
const ExitStatus = `0
: success, or stopped by a signal after all work was complete.

1
: failure.

2
: bad arguments or settings; nothing was started.

3
: stopped before all work was complete; the message names the aborted work.`
