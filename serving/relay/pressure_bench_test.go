package relay

import (
	"fmt"
	"testing"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// BenchmarkEndpointBytes measures the check of 140 endpoints that hold bytes of this instance and requests of its peers.
func BenchmarkEndpointBytes(b *testing.B) {
	d := roster.NewDirectory()
	for i := range 140 {
		d.Put(roster.Entry{Key: roster.Key{ID: wire.EndpointId(fmt.Sprint(i)), Born: 1}, Service: "s"})
	}
	list := d.View().Service("s")
	for _, e := range list {
		e.Begin(0)
		e.Hold(60_000)
		e.SetPeerLoad(0, 20)
	}
	j := &job{relay: &Relay{endpointBytes: 32 << 20}, request: &Request{Body: make([]byte, 60_000)}}
	b.ReportAllocs()
	for b.Loop() {
		if len(j.withRoom(list)) != len(list) {
			b.Fatal("an endpoint has no room")
		}
	}
}
