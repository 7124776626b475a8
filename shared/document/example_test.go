package document_test

import (
	"fmt"

	"cowslipshunt.example/shared/document"
)

func Example() {
	text := []byte(`
[[EndpointKind]]
Name = "booking"
Serves = "Service"
Service = "booking"

[[Route]]
Service = "booking"
Method = "GET"
Prefix = "/bookings"
Repeatable = true

[[Workspace]]
Name = "bluegum-venues"
Services = ["booking"]

[[Workspace.Key]]
Label = "curator-app"
Digest = "` + document.KeyDigest("example-key") + `"
`)
	d, err := document.Parse("document.toml", text)
	if err != nil {
		fmt.Println(err)
		return
	}
	x := document.NewIndex(d)
	w, _ := x.KeyIndex().Workspace(document.KeyDigest("example-key"))
	fmt.Println(w.Name)
	fmt.Println(x.RouteFor("booking", "GET", "/bookings/42").Repeatable)
	fmt.Println(x.RouteFor("booking", "POST", "/bookings").Repeatable)
	_, err = document.Parse("wrong.toml", []byte("[[Fleet]]\nDomain = \"qld-a\"\nKind = \"drafting\"\n"))
	fmt.Println(err)
	// Output:
	// bluegum-venues
	// true
	// false
	// wrong.toml:3:1: Fleet[0].Kind: there is no endpoint kind "drafting"
}
