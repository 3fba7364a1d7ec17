package decl

import (
	"regexp"
	"strings"
)

var matchPattern = regexp.MustCompile(`^[A-Z]+ /[^ *]*\*?$`)

// shareSlack forgives rounding in shares that are meant to add up to 1.
const shareSlack = 1e-9

// check holds the objects against each other.
func (p *parser) check() {
	p.checkClasses()
	for _, a := range p.deployment.Agencies {
		p.checkReference("agency "+a.Name, "business", a.Business)
	}
	for _, c := range p.deployment.Callers {
		p.checkReference("caller "+c.Name, "agency", c.Agency)
		if c.RateLimit > 0 && c.Burst == 0 {
			p.sections["caller "+c.Name].AddFinding("burst", "a rate limit wants a burst of at least 1")
		}
	}
	p.checkFeeds()
}

// checkReference reports a key whose value names no declared object. The key
// bears the name of the kind it refers to.
func (p *parser) checkReference(id, kind, name string) bool {
	if name == "" {
		return false // reported as missing
	}
	if _, found := p.sections[kind+" "+name]; !found {
		p.sections[id].AddFinding(kind, "no %s %q is declared", kind, name)
		return false
	}
	return true
}

func (p *parser) checkClasses() {
	taken := map[string]string{}
	for _, c := range p.deployment.Classes {
		section := p.sections["class "+c.Name]
		p.checkReference("class "+c.Name, "service", c.Service)
		patterns := c.Match
		if len(patterns) == 0 {
			patterns = []string{"*"}
		}
		for _, pattern := range patterns {
			if pattern != "*" && !matchPattern.MatchString(pattern) {
				section.AddFinding("match", "%q is not METHOD /path", pattern)
			}
			key := c.Service + " " + pattern
			if other, clash := taken[key]; clash {
				section.AddFinding("match", "class %q of service %q matches %s already", other, c.Service, pattern)
			}
			taken[key] = c.Name
		}
		// A hedge is a second run of the same request.
		if !c.Idempotent && c.HedgeAt > 0 {
			section.AddFinding("hedge_at", "only an idempotent class can be hedged")
		}
	}
}

func (p *parser) checkFeeds() {
	shares := map[string]float64{}
	for _, f := range p.deployment.Feeds {
		id := "feed " + f.Name
		section := p.sections[id]
		p.checkReference(id, "business", f.Business)
		if p.checkReference(id, "service", f.Service) && p.deployment.Service(f.Service).Kind != KindModel {
			section.AddFinding("service", "%q is not of kind model", f.Service)
		}
		if f.Scorer != "" && p.deployment.Service(f.Scorer) == nil {
			section.AddFinding("scorer", "no service %q is declared", f.Scorer)
		}
		if f.WeightIdle == 0 && f.WeightStaleness == 0 {
			section.AddFinding("weight_idle", "weight_idle and weight_staleness cannot both be 0")
		}
		if f.LotSize > f.GroupSize*f.GroupsPerStep {
			section.AddFinding("lot_size", "%d is more than a step of %d samples", f.LotSize, f.GroupSize*f.GroupsPerStep)
		}
		if len(f.Prompts) == 0 {
			section.AddFinding("prompt", "required")
		}
		shares[f.Service] += f.Share
		if shares[f.Service] > 1+shareSlack {
			section.AddFinding("share", "the feeds of service %q ask for %.3g of it", f.Service, shares[f.Service])
		}
	}
}

// Service returns the service of the given name, or nil.
func (d *Deployment) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Drained tells whether an operator has taken the instance out.
func (d *Deployment) Drained(instance string) bool {
	for _, id := range d.DrainInstances {
		if id == instance {
			return true
		}
	}
	return false
}

// Matches tells whether a class's pattern, "METHOD /path" or with a trailing
// *, takes a request.
func Matches(pattern, method, path string) bool {
	want, wantPath, _ := strings.Cut(pattern, " ")
	if want != method {
		return false
	}
	if prefix, open := strings.CutSuffix(wantPath, "*"); open {
		return strings.HasPrefix(path, prefix)
	}
	return path == wantPath
}
