package main

import (
	"os"
	"strings"
	"syscall"
	"testing"
)

// TestSettingsReloadWithoutRestart changes the settings file, then breaks it, and then sends SIGHUP with the file still
// broken. Changes must be noticed without a signal, and findings must not take the instance out of service.
func TestSettingsReloadWithoutRestart(t *testing.T) {
	x := startInstance(t, respondDone)
	x.configure(1, "k")
	x.eventually("a ready instance", x.ready)
	data, err := os.ReadFile(x.path)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(data), "bounds.retry_slack=56", "bounds.retry_slack=200", 1)
	x.writeSettings(strings.Replace(text, "bounds.lease_ms=3000", "bounds.lease_ms=4000", 1))
	x.eventually("a log line about the changed file", func() bool {
		return strings.Contains(x.log.String(), `"InForce":["bounds.retry_slack"],"AtNextStart":["bounds.lease_ms"],"message":"Reloaded"`)
	})
	x.writeSettings(strings.Replace(text, "zone=a", "", 1))
	x.eventually("a log line about the findings", func() bool {
		return strings.Contains(x.log.String(), `zone: is missing","message":"SettingsRejected"`)
	})
	if !x.ready() {
		t.Error("a broken settings file took the instance out of service")
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	x.eventually("a second rejection after SIGHUP", func() bool { return strings.Count(x.log.String(), "SettingsRejected") >= 2 })
}
