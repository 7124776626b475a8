package document

import (
	"cowslipshunt.example/wire"
)

// MaxKeyValidSeconds is the upper limit of Workspace.KeyValidSeconds: ten years.
const MaxKeyValidSeconds = 10 * 365 * 24 * 60 * 60

func (c *checker) checkWorkspaces() {
	names := firstSeen[wire.WorkspaceName]{}
	digests := firstSeen[wire.Digest]{}
	for i, w := range c.d.Workspace {
		field := elementPath("Workspace", i)
		c.checkName(field+".Name", string(w.Name))
		checkUnique(c, names, field+".Name", w.Name)
		c.checkAccess(field, w)
		c.checkLimits(field, w)
		c.checkKeys(field, w, digests)
	}
}

func (c *checker) checkAccess(field string, w Workspace) {
	models := firstSeen[wire.ModelName]{}
	for _, name := range w.Models {
		c.checkModel(field+".Models", name)
		checkUnique(c, models, field+".Models", name)
	}
	services := firstSeen[wire.ServiceName]{}
	for _, name := range w.Services {
		c.checkService(field+".Services", name)
		checkUnique(c, services, field+".Services", name)
	}
}

func (c *checker) checkLimits(field string, w Workspace) {
	checkNotNegative(c, field+".Weight", w.Weight)
	checkNotNegative(c, field+".MaxConcurrent", w.MaxConcurrent)
	checkNotNegative(c, field+".MaxCostPerHour", w.MaxCostPerHour)
	checkNotNegative(c, field+".KeyValidSeconds", w.KeyValidSeconds)
	if w.KeyValidSeconds > MaxKeyValidSeconds {
		c.AddFinding(field+".KeyValidSeconds", "%d is more than the maximum of %d", w.KeyValidSeconds, MaxKeyValidSeconds)
	}
}

func (c *checker) checkKeys(field string, w Workspace, digests firstSeen[wire.Digest]) {
	labels := firstSeen[string]{}
	for i, k := range w.Key {
		key := elementPath(field+".Key", i)
		c.checkName(key+".Label", k.Label)
		checkUnique(c, labels, key+".Label", k.Label)
		c.checkDigest(key+".Digest", k.Digest, digests)
	}
}

// checkDigest reports a malformed or duplicate digest. Its findings never contain a malformed value, which might be an API key
// that was pasted by mistake.
func (c *checker) checkDigest(field string, d wire.Digest, digests firstSeen[wire.Digest]) {
	switch {
	case d == "":
		c.AddFinding(field, "is missing")
		return
	case !digestPattern.MatchString(string(d)):
		c.AddFinding(field, "is not %q with 64 lower-case hex digits", digestPrefix)
		return
	}
	if first, ok := digests[d]; ok {
		c.AddFinding(field, "%s is already given at %s", ShortDigest(d), first)
		return
	}
	digests[d] = field
}
