package main

import (
	"embed"
	"encoding/json"
	"strings"
	"text/template"
	"time"

	"cowslipshunt.example/platform/wire"
)

// wireFiles hold the platform's names of headers and paths and the layout of its settings file.
//
//go:embed wire/words.json wire/settings.conf
var wireFiles embed.FS

// words are the platform's names by those that this program uses.
var words = readWords()

func readWords() map[string]string {
	data, err := wireFiles.ReadFile("wire/words.json")
	list := map[string]string{}
	if err == nil {
		err = json.Unmarshal(data, &list)
	}
	if err != nil {
		panic(err)
	}
	return list
}

// field returns a line of a head.
func field(word, value string) string { return words[word] + ": " + value + "\r\n" }

// seal is the line with a replica's signature.
var seal = field("seal", "3e1b.07.5a2.600.0.c9f2a4d1")

// notRun is the line by which a replica says that it did not run a request.
var notRun = field("notRun", "1")

var settingsTemplate = template.Must(template.ParseFS(wireFiles, "wire/settings.conf"))

// settingsText returns the settings file of a router.
func settingsText(values map[string]any) string {
	var b strings.Builder
	if err := settingsTemplate.Execute(&b, values); err != nil {
		cannotRun("settings: %v", err)
	}
	return b.String()
}

// config returns a configuration with one tenant, which holds the clients' key.
func config(version int, idleTimeout time.Duration, services []wire.Service, routes ...wire.Route) []byte {
	for i := range routes {
		routes[i].Host = host
	}
	value, err := json.Marshal(wire.Configuration{
		Version: version, Routes: routes, Services: services,
		Limits:  &wire.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: maxBody, HeaderTimeoutMs: 3000, IdleTimeoutMs: float64(idleTimeout.Milliseconds())},
		Tenants: []wire.Tenant{{Name: "hule930", ApiKeys: []string{key}}},
	})
	if err != nil {
		cannotRun("configuration: %v", err)
	}
	return value
}

const (
	// maxBody is the limit of request bodies, body_bytes of the site.
	maxBody = 4 << 20
	// idleTimeout is that of callers' connections.
	idleTimeout = 15 * time.Second
)

// plainService is a service without engines.
func plainService(name string) wire.Service {
	return wire.Service{Name: name, HealthPath: "/health", MaxConns: 110}
}

// onceRoute is a route whose requests may run once.
func onceRoute(name, prefix, service string, timeout time.Duration, goal float64) wire.Route {
	return wire.Route{Name: name, PathPrefix: prefix, Kind: words["once"], TimeoutMs: float64(timeout.Milliseconds()), GoalMs: goal, Priority: 1, Service: service, MaxAttempts: 1}
}

// writersConfig is a configuration with one streaming route to model replicas. Its streams can be resumed unless once is set.
func writersConfig(version int, idle time.Duration, once bool) []byte {
	attempts := 2
	if once {
		attempts = 1
	}
	writers := wire.Service{Name: "writers", HealthPath: "/health", MaxConns: 370, Engine: &wire.Engine{Slots: 64, KvCapacity: 484150, KvTokenBytes: 163840, KvHoldS: 5, SwapS: 3}}
	return config(version, idle, []wire.Service{writers}, wire.Route{
		Name: "r-query", PathPrefix: "/query/", Kind: "streaming", TimeoutMs: 8000, GoalMs: 400, GapTargetMs: 150, Service: "writers",
		MaxAttempts: attempts, Sticky: true, CanResume: !once,
	})
}

// query returns a request for a stream of a number of tokens.
func query(id, prefix, tokens string, deadline time.Duration) request {
	return request{id: id, method: "POST", path: "/query/2f", deadline: deadline, body: []byte("question"), head: field("model", "m") + field("tokens", tokens) + field("prefix", prefix)}
}
