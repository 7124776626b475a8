package document

import (
	"fmt"

	"cowslipshunt.example/wire"
)

func (c *checker) checkModels() {
	seen := firstSeen[wire.ModelName]{}
	for i, m := range c.d.Model {
		field := elementPath("Model", i)
		c.checkName(field+".Name", string(m.Name))
		checkUnique(c, seen, field+".Name", m.Name)
		c.checkName(field+".Version", string(m.Version))
		checkNotNegative(c, field+".PromptPrice", m.PromptPrice)
		checkNotNegative(c, field+".OutputPrice", m.OutputPrice)
		checkNotNegative(c, field+".MaxOutput", m.MaxOutput)
		capabilities := firstSeen[string]{}
		for _, name := range m.Capabilities {
			c.checkName(field+".Capabilities", name)
			checkUnique(c, capabilities, field+".Capabilities", name)
		}
	}
}

func (c *checker) checkKinds() {
	for i, k := range c.d.EndpointKind {
		field := elementPath("EndpointKind", i)
		c.checkName(field+".Name", string(k.Name))
		checkUnique(c, c.kinds, field+".Name", k.Name)
		checkNotNegative(c, field+".Concurrency", k.Concurrency)
		c.checkServes(field, k)
	}
}

func (c *checker) checkServes(field string, k EndpointKind) {
	switch k.Serves {
	case ServesModel:
		c.checkServesModel(field, k)
	case ServesService:
		c.checkServesService(field, k)
	case "":
		c.AddFinding(field+".Serves", "is missing")
	default:
		c.AddFinding(field+".Serves", "%q is neither %s nor %s", k.Serves, ServesModel, ServesService)
	}
}

func (c *checker) checkServesModel(field string, k EndpointKind) {
	if k.Service != "" {
		c.AddFinding(field+".Service", "is allowed only for a kind that serves a service")
	}
	if k.Model == "" {
		c.AddFinding(field+".Model", "is missing")
		return
	}
	c.checkModel(field+".Model", k.Model)
	if m := c.models[k.Model]; k.Cheap && m != nil && !m.IsRepeatable() {
		c.AddFinding(field+".Cheap", "model %s is not repeatable, and cheap endpoints get only repeatable requests", k.Model)
	}
}

func (c *checker) checkServesService(field string, k EndpointKind) {
	if k.Model != "" {
		c.AddFinding(field+".Model", "is allowed only for a kind that serves a model")
	}
	c.checkName(field+".Service", string(k.Service))
	if !k.Cheap || k.Service == "" {
		return
	}
	for i, r := range c.d.Route {
		if r.Service == k.Service && !r.Repeatable {
			c.AddFinding(field+".Cheap", "service %s has a route that is not repeatable, %s, and cheap endpoints get only repeatable requests",
				k.Service, elementPath("Route", i))
		}
	}
}

func (c *checker) checkFleets() {
	seen := firstSeen[string]{}
	for i, f := range c.d.Fleet {
		field := elementPath("Fleet", i)
		c.checkName(field+".Domain", string(f.Domain))
		checkNotNegative(c, field+".Count", f.Count)
		if f.Kind == "" {
			c.AddFinding(field+".Kind", "is missing")
			continue
		}
		if _, ok := c.kinds[f.Kind]; !ok {
			c.AddFinding(field+".Kind", "there is no endpoint kind %q", f.Kind)
		}
		checkUnique(c, seen, field+".Kind", fmt.Sprintf("kind %s in domain %s", f.Kind, f.Domain))
	}
}
