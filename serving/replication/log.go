package replication

// Log is the recent history of a table at an instance that reads it from the store. It is not safe for concurrent use.
type Log struct {
	table string
	// maxChanges bounds the changes in one update. If it is 0, updates have no changes: receivers learn only that there are some.
	maxChanges int
	// start is the version after which changes are known.
	start Version
	// version is the version up to which the table was read.
	version Version
	// previous and last are the changes of the last two answers of the store; lastAfter is the version after which those in last are.
	previous, last []Change
	lastAfter      Version
}

// NewLog returns the empty log of a table whose updates have at most maxChanges changes, or none.
func NewLog(table string, maxChanges int) *Log {
	return &Log{table: table, maxChanges: maxChanges}
}

// Reset records that the whole table was read at a version, so that the changes before it are not known.
func (l *Log) Reset(v Version) {
	l.start, l.lastAfter, l.version = v, v, v
	l.previous, l.last = nil, nil
}

// Append records the changes that an answer of the store has listed, and the version up to which it lists them.
func (l *Log) Append(v Version, changes []Change) {
	if len(changes) > 0 {
		l.start, l.lastAfter = l.lastAfter, l.version
		l.previous, l.last = l.last, changes
	}
	l.version = max(l.version, v)
}

// Latest returns the updates with the changes of the last two answers that had changes, so that a receiver that has missed one update
// does not fall behind.
func (l *Log) Latest() []Update {
	if l.maxChanges == 0 {
		return []Update{l.Unchanged()}
	}
	changes := append(append([]Change(nil), l.previous...), l.last...)
	var updates []Update
	after := l.start
	for len(changes) > l.maxChanges {
		n := l.splitAt(changes)
		if n == 0 {
			break
		}
		updates = append(updates, Update{Table: l.table, After: after, Version: changes[n-1].Version, Newest: l.version, Changes: changes[:n]})
		after, changes = changes[n-1].Version, changes[n:]
	}
	return append(updates, Update{Table: l.table, After: after, Version: l.version, Newest: l.version, Changes: changes})
}

// splitAt returns how many of the changes the next update has. Changes of one version stay together.
func (l *Log) splitAt(changes []Change) int {
	n := l.maxChanges
	for n > 0 && changes[n-1].Version == changes[n].Version {
		n--
	}
	return n
}

// Unchanged returns an update without changes: none have come since the last one that the log knows.
func (l *Log) Unchanged() Update {
	after := l.start
	if n := len(l.last); n > 0 {
		after = l.last[n-1].Version
	}
	return Update{Table: l.table, After: after, Version: l.version, Newest: l.version}
}
