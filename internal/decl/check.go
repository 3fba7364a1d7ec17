package decl

import (
	"regexp"
	"strings"
)

// matchPattern is the form of a class's pattern: "METHOD /path" or "METHOD /path*".
var matchPattern = regexp.MustCompile(`^[A-Z]+ /[^ *]*\*?$`)

// shareTolerance allows for rounding errors in shares that should add up to 1.
const shareTolerance = 1e-9

// check reports references to undeclared objects and values that contradict each
// other.
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

// checkReference returns whether the named object is declared and adds a finding if it
// is not. The kind of the object is also the key that refers to it.
func (p *parser) checkReference(id, kind, name string) bool {
	if name == "" {
		return false // already reported as missing
	}
	if _, found := p.sections[kind+" "+name]; !found {
		p.sections[id].AddFinding(kind, "no %s %q is declared", kind, name)
		return false
	}
	return true
}

func (p *parser) checkClasses() {
	classByPattern := map[string]string{}
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
			if other, duplicate := classByPattern[key]; duplicate {
				section.AddFinding("match", "class %q of service %q matches %s already", other, c.Service, pattern)
			}
			classByPattern[key] = c.Name
		}
		// A hedge runs the same request a second time.
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
		if shares[f.Service] > 1+shareTolerance {
			section.AddFinding("share", "the feeds of service %q ask for %.3g of it", f.Service, shares[f.Service])
		}
	}
}

// Service returns the service with the given name, or nil if none is declared.
func (d *Deployment) Service(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// Drained reports whether an operator has drained the instance.
func (d *Deployment) Drained(instance string) bool {
	for _, id := range d.DrainInstances {
		if id == instance {
			return true
		}
	}
	return false
}

// Matches reports whether a request matches a class's pattern, which is
// "METHOD /path" or, for all paths with a prefix, "METHOD /prefix*".
func Matches(pattern, method, path string) bool {
	wantMethod, wantPath, _ := strings.Cut(pattern, " ")
	if wantMethod != method {
		return false
	}
	if prefix, isPrefix := strings.CutSuffix(wantPath, "*"); isPrefix {
		return strings.HasPrefix(path, prefix)
	}
	return path == wantPath
}
