package document_test

import (
	"fmt"
	"reflect"

	"cowslipshunt.example/shared/document"
	"cowslipshunt.example/wire"
	"pgregory.net/rapid"
)

var (
	name   = rapid.StringMatching(`[A-Za-z0-9_-][A-Za-z0-9._-]{0,4}`)
	number = rapid.IntRange(0, 3)
)

// drawNames draws up to three distinct names; it returns nil for none.
func drawNames[N ~string](t *rapid.T, label string) []N {
	var list []N
	for _, s := range rapid.SliceOfNDistinct(name, 0, 3, rapid.ID).Draw(t, label) {
		list = append(list, N(s))
	}
	return list
}

// drawSubset draws a subset of names; it returns nil for none.
func drawSubset[N ~string](t *rapid.T, label string, names []N) []N {
	var list []N
	for _, n := range names {
		if rapid.Bool().Draw(t, label) {
			list = append(list, n)
		}
	}
	return list
}

// drawDocument draws a valid document.
func drawDocument(t *rapid.T) *document.Document {
	d := &document.Document{}
	models := drawNames[wire.ModelName](t, "models")
	for _, n := range models {
		d.Model = append(d.Model, drawModel(t, n))
	}
	services := drawNames[wire.ServiceName](t, "services")
	drawKinds(t, d, services)
	for i, k := range d.EndpointKind {
		domain := wire.DomainName(fmt.Sprintf("domain-%d", i%2))
		d.Fleet = append(d.Fleet, document.Fleet{Domain: domain, Kind: k.Name, Count: number.Draw(t, "count")})
	}
	for _, s := range services {
		drawRoutes(t, d, s)
	}
	for i, n := range drawNames[wire.WorkspaceName](t, "workspaces") {
		d.Workspace = append(d.Workspace, drawWorkspace(t, n, i, models, services))
	}
	return d
}

func drawModel(t *rapid.T, n wire.ModelName) document.Model {
	m := document.Model{Name: n, Version: wire.ModelVersion(name.Draw(t, "version")),
		PromptPrice:  wire.CostMicros(number.Draw(t, "prompt price")),
		OutputPrice:  wire.CostMicros(number.Draw(t, "output price")),
		MaxOutput:    wire.TokenCount(number.Draw(t, "max output")),
		Capabilities: drawNames[string](t, "capabilities"),
	}
	if rapid.Bool().Draw(t, "says repeatable") {
		m.Repeatable = new(rapid.Bool().Draw(t, "repeatable"))
	}
	return m
}

func drawKinds(t *rapid.T, d *document.Document, services []wire.ServiceName) {
	for i, m := range d.Model {
		d.EndpointKind = append(d.EndpointKind, document.EndpointKind{
			Name: wire.EndpointKindName(fmt.Sprintf("m%d", i)), Serves: document.ServesModel, Model: m.Name,
			Cheap:         m.IsRepeatable() && rapid.Bool().Draw(t, "cheap"),
			ChecksFencing: rapid.Bool().Draw(t, "fencing"), Concurrency: number.Draw(t, "concurrency"),
		})
	}
	for i, s := range services {
		d.EndpointKind = append(d.EndpointKind, document.EndpointKind{
			Name: wire.EndpointKindName(fmt.Sprintf("s%d", i)), Serves: document.ServesService, Service: s,
		})
	}
}

func drawRoutes(t *rapid.T, d *document.Document, s wire.ServiceName) {
	for _, prefix := range drawSubset(t, "prefix", []string{"/", "/a", "/a/b", `/~"'x`}) {
		d.Route = append(d.Route, document.Route{Service: s, Prefix: prefix,
			Method:     rapid.SampledFrom([]string{"", "GET", "POST"}).Draw(t, "method"),
			Repeatable: rapid.Bool().Draw(t, "repeatable"), Open: rapid.Bool().Draw(t, "open"),
			Price: wire.CostMicros(number.Draw(t, "price")),
		})
	}
}

func drawWorkspace(t *rapid.T, n wire.WorkspaceName, i int, models []wire.ModelName, services []wire.ServiceName) document.Workspace {
	w := document.Workspace{Name: n, Models: drawSubset(t, "model", models), Services: drawSubset(t, "service", services),
		Weight: number.Draw(t, "weight"), MaxConcurrent: number.Draw(t, "concurrent"),
		MaxCostPerHour:  wire.CostMicros(number.Draw(t, "cost")),
		KeyValidSeconds: number.Draw(t, "valid"),
	}
	for _, label := range drawNames[string](t, "labels") {
		digest := document.KeyDigest(fmt.Sprintf("%d %s %d", i, label, number.Draw(t, "key")))
		w.Key = append(w.Key, document.Key{Digest: digest, Label: label})
	}
	return w
}

func cloneDocument(t *rapid.T, d *document.Document) *document.Document {
	text, err := document.Encode(d)
	if err != nil {
		t.Fatal(err)
	}
	other, err := document.Parse("copy.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	return other
}

// leafValues returns all settable strings, numbers and booleans within a value.
func leafValues(v reflect.Value) []reflect.Value {
	var list []reflect.Value
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			list = append(list, leafValues(v.Field(i))...)
		}
	case reflect.Slice:
		for i := range v.Len() {
			list = append(list, leafValues(v.Index(i))...)
		}
	case reflect.Pointer:
		if !v.IsNil() {
			list = leafValues(v.Elem())
		}
	default:
		list = append(list, v)
	}
	return list
}

// mutate changes a string, number or boolean to another value.
func mutate(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(!v.Bool())
	case reflect.String:
		v.SetString(v.String() + "~")
	default:
		v.SetInt(v.Int() + 1)
	}
}
