package command

// ExitStatus describes the exit codes of a program that serves, for its page of the manual.
const ExitStatus = `0
: done, or stopped by a signal with nothing lost.

1
: failed.

2
: bad arguments or settings; nothing was started.

3
: stopped with work cut; the message says what.`
