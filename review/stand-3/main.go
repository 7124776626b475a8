package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// plays are the cases by name. Each reports whether the rule was broken.
var plays = map[string]func(rec *record, trouble bool) bool{
	"reborn":    playReborn,
	"batches":   playBatches,
	"documents": playDocuments,
}

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE RECORD")
		return exitFailed
	}
	defer func() {
		if value := recover(); value != nil {
			reason, ok := value.(unplayed)
			if !ok {
				panic(value)
			}
			fmt.Fprintln(os.Stderr, "could not run:", string(reason))
			code = exitFailed
		}
	}()
	rec := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	if plays[os.Args[1]](rec, trouble) {
		rec.add("the rule was broken")
		return exitBroken
	}
	rec.add("the rule held")
	return exitHeld
}
