package capacity

import (
	"fmt"
	"testing"
	"time"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
)

// idleDuration is how long the resource use of an idle entry is measured.
const idleDuration = 10 * time.Second

// Size of the system for which the design is made.
const (
	targetWorkspaces = 240
	targetModels     = 19
	targetEndpoints  = 440
)

func targetDocument() *document.Document {
	d := &document.Document{}
	for i := range targetModels {
		model := wire.ModelName(fmt.Sprintf("model-%02d", i))
		d.Model = append(d.Model, document.Model{Name: model, Version: "v1", PromptPrice: 400, OutputPrice: 1600, MaxOutput: 2048})
		d.EndpointKind = append(d.EndpointKind, document.EndpointKind{
			Name: wire.EndpointKindName("kind-" + model), Serves: document.ServesModel, Model: model, Concurrency: 16,
		})
	}
	for i := range targetWorkspaces {
		w := document.Workspace{Name: wire.WorkspaceName(fmt.Sprintf("workspace-%03d", i))}
		for _, m := range d.Model {
			w.Models = append(w.Models, m.Name)
		}
		w.Key = []document.Key{{Label: "application", Digest: document.KeyDigest(fmt.Sprintf("csh_key-%03d", i))}}
		d.Workspace = append(d.Workspace, w)
	}
	return d
}

func targetStates() []wire.EndpointState {
	var list []wire.EndpointState
	for i := range targetEndpoints {
		model := wire.ModelName(fmt.Sprintf("model-%02d", i%targetModels))
		list = append(list, wire.EndpointState{
			Endpoint: wire.EndpointId(fmt.Sprintf("domain-1-engine-%04d", i)), Domain: domain, Kind: wire.EndpointKindName("kind-" + model),
			Address: fmt.Sprintf("127.0.0.1:%d", 10_000+i), Model: model, ModelVersion: "v1",
			Phase: wire.EndpointPhaseReady, Role: wire.EngineRoleMixed,
		})
	}
	return list
}

// BenchmarkIdleEntry measures one idle entry with a document and a domain's endpoints of the target size. Each peer is a
// separate entry whose only peer is the measured one. As in a full mesh, the measured entry and each peer connect to each
// other.
func BenchmarkIdleEntry(b *testing.B) {
	for _, n := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			platform := startPlatform(b)
			entry := newEntrySettings(b, "watched", platform)
			var peers []*entrySettings
			for i := range n {
				p := newEntrySettings(b, fmt.Sprintf("peer-%02d", i), platform)
				p.addPeer(entry)
				entry.addPeer(p)
				peers = append(peers, p)
			}
			running := start(b, "entry", entry)
			for _, p := range peers {
				start(b, "entry", p)
			}
			entry.submitDocument(b, targetDocument(), 0)
			entry.sendEndpoints(b, targetStates())
			waitFor(b, "a link to every peer and their confirmation of version 1", func() bool { return linkedAtVersion(entry.status(b), 1) })

			for b.Loop() {
				reportResources(b, running.readResources(b), running.readAfter(b, idleDuration))
			}
			measureDocumentChange(b, entry, running)
		})
	}
}

// measureDocumentChange submits a document at the measured entry and reports the time until every instance has confirmed it,
// and the bytes that the entry wrote.
func measureDocumentChange(b *testing.B, entry *entrySettings, running *process) {
	b.Helper()
	d := targetDocument()
	d.Workspace[0].Weight = 2
	before, started := running.readResources(b), time.Now()
	entry.submitDocument(b, d, 1)
	waitFor(b, "the confirmation of version 2 by every instance", func() bool { return linkedAtVersion(entry.status(b), 2) })
	b.ReportMetric(float64(time.Since(started).Milliseconds()), "change-ms")
	b.ReportMetric(float64(running.readResources(b).writtenBytes-before.writtenBytes), "change-out-B")
}

// linkedAtVersion reports whether every instance is connected and has a version of the document.
func linkedAtVersion(s wire.StatusAnswer, version wire.DocumentVersion) bool {
	for _, i := range s.Instances {
		if !i.Connected || i.DocumentVersion != version {
			return false
		}
	}
	return true
}

// readAfter waits and then reads the process's resource use.
func (p *process) readAfter(b *testing.B, wait time.Duration) resourceReading {
	b.Helper()
	<-time.After(wait)
	return p.readResources(b)
}

func reportResources(b *testing.B, from, to resourceReading) {
	b.Helper()
	seconds := to.at.Sub(from.at).Seconds()
	b.ReportMetric(100*(to.cpu-from.cpu).Seconds()/seconds, "%core")
	b.ReportMetric(float64(to.readBytes-from.readBytes)/seconds, "in-B/s")
	b.ReportMetric(float64(to.writtenBytes-from.writtenBytes)/seconds, "out-B/s")
	b.ReportMetric(float64(to.residentBytes)/(1<<20), "resident-MiB")
}
