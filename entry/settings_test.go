package main

import (
	"strings"
	"testing"

	"cowslipshunt.example/shared/setting"
)

// TestSettingsAreChecked guards against a missing or wrong setting that is accepted without a finding.
func TestSettingsAreChecked(t *testing.T) {
	cfg := &settings{}
	places, list := setting.Decode("f", []byte("Address='x'\nOrderTimeoutMillis=3000\nTickMillis=-1\n[[Peer]]\nInstance='a'\nDomain='d'\nAddress='127.0.0.1:1'\n[[Peer]]\nInstance='a'\nDomain='d'\n"), cfg)
	list = append(list, cfg.Check(places)...)
	for _, field := range []string{"Instance", "Domain", "Address", "OperatorAddress", "PeerAddress", "OperationsAddress", "Platform", "PeerSecret", "OrderTimeoutMillis", "TickMillis", "Peer[1].Instance", "Peer[1].Address"} {
		if !strings.Contains(list.Error(), " "+field+": ") {
			t.Errorf("no finding for %s in:\n%v", field, list)
		}
	}
	if len(list) != 12 {
		t.Errorf("%d findings, want 12:\n%v", len(list), list)
	}
}
