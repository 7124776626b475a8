package document

import (
	"cowslipshunt.example/wire"
)

// MaxKeyValidSeconds bounds Workspace.KeyValidSeconds, in seconds: ten years.
const MaxKeyValidSeconds = 10 * 365 * 24 * 60 * 60

func (c *checker) checkWorkspaces() {
	names := set[wire.WorkspaceName]{}
	digests := set[wire.Digest]{}
	for i, w := range c.d.Workspace {
		field := at("Workspace", i)
		c.checkName(field+".Name", string(w.Name))
		checkOnce(c, names, field+".Name", w.Name)
		c.checkAllowed(field, w)
		c.checkLimits(field, w)
		c.checkKeys(field, w, digests)
	}
}

func (c *checker) checkAllowed(field string, w Workspace) {
	models := set[wire.ModelName]{}
	for _, name := range w.Models {
		c.checkModel(field+".Models", name)
		checkOnce(c, models, field+".Models", name)
	}
	services := set[wire.ServiceName]{}
	for _, name := range w.Services {
		c.checkService(field+".Services", name)
		checkOnce(c, services, field+".Services", name)
	}
}

func (c *checker) checkLimits(field string, w Workspace) {
	checkNotNegative(c, field+".Weight", w.Weight)
	checkNotNegative(c, field+".MaxConcurrent", w.MaxConcurrent)
	checkNotNegative(c, field+".MaxCostPerHour", w.MaxCostPerHour)
	checkNotNegative(c, field+".KeyValidSeconds", w.KeyValidSeconds)
	if w.KeyValidSeconds > MaxKeyValidSeconds {
		c.Fail(field+".KeyValidSeconds", "%d is over %d", w.KeyValidSeconds, MaxKeyValidSeconds)
	}
}

func (c *checker) checkKeys(field string, w Workspace, digests set[wire.Digest]) {
	labels := set[string]{}
	for i, k := range w.Key {
		key := at(field+".Key", i)
		c.checkName(key+".Label", k.Label)
		checkOnce(c, labels, key+".Label", k.Label)
		c.checkDigest(key+".Digest", k.Digest, digests)
	}
}

// checkDigest never repeats the value: it might be a key that was pasted by mistake.
func (c *checker) checkDigest(field string, d wire.Digest, digests set[wire.Digest]) {
	switch {
	case d == "":
		c.Fail(field, "is missing")
		return
	case !digestShape.MatchString(string(d)):
		c.Fail(field, "is not %q with 64 lower-case hex digits", digestPrefix)
		return
	}
	if first, ok := digests[d]; ok {
		c.Fail(field, "%s is already at %s", ShortDigest(d), first)
		return
	}
	digests[d] = field
}
