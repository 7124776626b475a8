package setting_test

import (
	"os"
	"path/filepath"
	"testing"

	"cowslipshunt.example/shared/finding"
	"cowslipshunt.example/shared/setting"
)

type sample struct {
	Name    string
	Address string
	Peer    []struct {
		Address string
		Port    int
	}
}

func (s *sample) Check(p *setting.Places) finding.List {
	c := setting.Checks{Places: p}
	c.Required("Name", s.Name)
	c.Address("Address", s.Address)
	for i := range s.Peer {
		c.Address("Peer["+string(rune('0'+i))+"].Address", s.Peer[i].Address)
	}
	return c.List
}

func load(t *testing.T, text string) error {
	t.Helper()
	path := filepath.Join(t.TempDir(), "sample.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	err := setting.Load(path, &sample{})
	list, _ := err.(finding.List)
	for i := range list {
		list[i].File = "sample.toml"
	}
	return err
}

func TestLoadReportsFindingsWithPositions(t *testing.T) {
	tests := []struct {
		name, text, want string
	}{
		{"good", "Name='a'\nAddress='127.0.0.1:80'\n", ""},
		{"unknown fields", "Nam='a'\nAddres='b'\n", "sample.toml:1:1: Nam: unknown field\nsample.toml:2:1: Addres: unknown field"},
		{"fields twice", "Name='a'\nname='b'\nAddress='127.0.0.1:80'\n", "sample.toml:2:1: name: was given before in another letter case"},
		{"fields of a table twice", "Name='a'\nAddress='127.0.0.1:80'\n[[Peer]]\nADDRESS='127.0.0.1:1'\nAddress='127.0.0.1:2'\n[[Peer]]\naddress='127.0.0.1:3'\n",
			"sample.toml:5:1: Peer[0].Address: was given before in another letter case"},
		{"tables twice", "Name='a'\nAddress='127.0.0.1:80'\n[[Peer]]\nAddress='127.0.0.1:1'\n[[peer]]\nAddress='127.0.0.1:2'\n",
			"sample.toml:5:3: peer[0]: was given before in another letter case\nsample.toml:6:1: peer[0].Address: was given before in another letter case"},
		{"inline twice", "Name='a'\nAddress='127.0.0.1:80'\nPeer=[{Port=1, port=2, Address='127.0.0.1:1'}]\n",
			"sample.toml:3:16: Peer[0].port: was given before in another letter case"},
		{"another case", "name='a'\naddress='x'\n", "sample.toml:2:1: Address: \"x\" is not an IP address with a port"},
		{"checks", "Address='x'\n[[Peer]]\nAddress='127.0.0.1:1'\n[[Peer]]\nAddress='y'\n",
			"sample.toml: Name: is missing\nsample.toml:1:1: Address: \"x\" is not an IP address with a port\nsample.toml:5:1: Peer[1].Address: \"y\" is not an IP address with a port"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := ""
			if err := load(t, test.text); err != nil {
				got = err.Error()
			}
			if got != test.want {
				t.Errorf("got:\n%s\nwant:\n%s", got, test.want)
			}
		})
	}
}

func TestLoadLocatesTypeAndSyntaxErrors(t *testing.T) {
	for _, text := range []string{"Name=1\n", "Name=\n", "[[Peer]]\nPort='x'\n"} {
		err := load(t, text)
		list, ok := err.(finding.List)
		if !ok || len(list) != 1 || list[0].Line == 0 {
			t.Errorf("%q: got %v, want one finding with a line", text, err)
		}
	}
}
