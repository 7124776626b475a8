package main

import (
	"os"
	"strings"
	"syscall"
	"testing"
)

// TestChangedSettingsAreInForceWithoutAStart changes the file without a signal, breaks it, and mends it with one.
func TestChangedSettingsAreInForceWithoutAStart(t *testing.T) {
	x := start(t, whole)
	x.configure(1, "k")
	x.eventually("a ready instance", x.ready)
	data, err := os.ReadFile(x.path)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(data), "bounds.retry_slack=56", "bounds.retry_slack=200", 1)
	x.write(strings.Replace(text, "bounds.lease_ms=3000", "bounds.lease_ms=4000", 1))
	x.eventually("a line about the changed file", func() bool {
		return strings.Contains(x.log.String(), `"InForce":["bounds.retry_slack"],"AtNextStart":["bounds.lease_ms"],"message":"Reloaded"`)
	})
	x.write(strings.Replace(text, "zone=a", "", 1))
	x.eventually("a line about the findings", func() bool {
		return strings.Contains(x.log.String(), `zone: is missing","message":"SettingsRejected"`)
	})
	if !x.ready() {
		t.Error("a broken settings file took the instance out of service")
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	x.eventually("an answer to the signal", func() bool { return strings.Count(x.log.String(), "SettingsRejected") >= 2 })
}
