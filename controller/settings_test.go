package main

import (
	"strings"
	"testing"

	"cowslipshunt.example/shared/setting"
)

func TestSettingsAreChecked(t *testing.T) {
	cfg := defaultSettings()
	places, list := setting.Decode("f", []byte("Address='x'\nOrderTimeoutMillis=3000\nTickMillis=0\n[[Entry]]\nInstance='a'\nAddress='127.0.0.1:1'\n[[Entry]]\nInstance='a'\n"), &cfg)
	list = append(list, cfg.Check(places)...)
	for _, field := range []string{"Instance", "Domain", "Address", "Platform", "PeerSecret", "OrderTimeoutMillis", "TickMillis", "Entry[1].Instance", "Entry[1].Address"} {
		if !strings.Contains(list.Error(), " "+field+": ") {
			t.Errorf("no finding for %s in:\n%v", field, list)
		}
	}
	if len(list) != 9 {
		t.Errorf("%d findings, want 9:\n%v", len(list), list)
	}
}
