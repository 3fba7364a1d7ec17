package decl

import (
	"regexp"
	"time"

	"siskinloom.example/siskinloom/internal/inifile"
)

// Source is the name and text of a declaration file.
type Source struct {
	Name string
	Text string
}

// Limits of declared values. Sizes of bodies are in bytes, rates per second.
const (
	maxWeight        = 1000
	maxSlots         = 4096
	maxQueueLimit    = 1 << 20
	maxBodyBytes     = 64 << 20
	maxDeadline      = time.Hour
	maxRetryWindow   = 24 * time.Hour
	maxStalenessTime = 24 * time.Hour
	maxCount         = 1 << 20
	maxRateLimit     = 1e6
	maxPriority      = 100
	minPositive      = 1e-6 // lowest value of numbers that must be positive
)

// Defaults of optional values.
const (
	DefaultSlots         = 8
	DefaultQueueLimit    = 256
	DefaultCapacityFloor = 0.5
	DefaultMaxBodyBytes  = 1 << 20
	DefaultDeadline      = 2 * time.Second
	DefaultRetryWindow   = 10 * time.Minute
	DefaultRetryBudget   = 0.1
	DefaultMaxTokens     = 256
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]*$`)

// parser collects the objects of all files with the sections that declare them.
type parser struct {
	deployment Deployment
	findings   inifile.Findings
	sections   map[string]*inifile.Section // by "kind name"
	digests    map[string]string           // key digest -> "kind name"
}

// Parse parses a set of declaration files as one deployment. The deployment is
// usable only if there are no findings. Findings are sorted by file and line.
func Parse(files []Source) (*Deployment, []inifile.Finding) {
	p := &parser{sections: map[string]*inifile.Section{}, digests: map[string]string{}}
	for _, file := range files {
		p.parseFile(inifile.Parse(file.Name, []byte(file.Text), &p.findings))
	}
	if _, found := p.sections["deployment "]; !found {
		name := "declarations"
		if len(files) > 0 {
			name = files[0].Name
		}
		p.findings.Add(inifile.Position{File: name}, "no [deployment] section")
	}
	p.check()
	return &p.deployment, p.findings.List()
}

func (p *parser) parseFile(file *inifile.File) {
	for _, s := range file.Sections() {
		id := s.Kind + " " + s.Name
		if earlier, duplicate := p.sections[id]; duplicate {
			position := earlier.Position()
			p.findings.Add(s.Position(), "%s stands already in %s:%d", id, position.File, position.Line)
			continue
		}
		p.sections[id] = s
		if s.Kind != "deployment" && !namePattern.MatchString(s.Name) {
			p.findings.Add(s.Position(), "[%s] wants a name of letters, digits, '.', '_' and '-'", s.Kind)
		}
		p.parseSection(s)
		s.ReportUnread()
	}
}

func (p *parser) parseSection(s *inifile.Section) {
	d := &p.deployment
	switch s.Kind {
	case "deployment":
		d.Name = s.Required("name")
	case "service":
		d.Services = append(d.Services, parseService(s))
	case "class":
		d.Classes = append(d.Classes, parseClass(s))
	case "business":
		d.Businesses = append(d.Businesses, Business{
			Name:        s.Name,
			Weight:      s.Float("weight", 1, minPositive, maxWeight),
			RetryBudget: s.Float("retry_budget", DefaultRetryBudget, 0, 1),
		})
	case "agency":
		d.Agencies = append(d.Agencies, Agency{
			Name:     s.Name,
			Business: s.Required("business"),
			Weight:   s.Float("weight", 1, minPositive, maxWeight),
		})
	case "caller":
		d.Callers = append(d.Callers, p.parseCaller(s))
	case "feed":
		d.Feeds = append(d.Feeds, p.parseFeed(s))
	case "operator":
		d.Operators = append(d.Operators, Operator{Name: s.Name, KeySHA256: p.parseDigest(s, "key_sha256")})
	default:
		p.findings.Add(s.Position(), "unknown kind of section: [%s]", s.Kind)
	}
}

func parseService(s *inifile.Section) Service {
	return Service{
		Name:          s.Name,
		Kind:          ServiceKind(s.OneOf("kind", "", string(KindModel), string(KindPlain))),
		Fencing:       s.Bool("fencing", false),
		Slots:         s.Int("slots", DefaultSlots, 1, maxSlots),
		QueueLimit:    s.Int("queue_limit", DefaultQueueLimit, 1, maxQueueLimit),
		CapacityFloor: s.Float("capacity_floor", DefaultCapacityFloor, 0, 1),
		MaxBodyBytes:  s.Int("max_body_bytes", DefaultMaxBodyBytes, 1, maxBodyBytes),
		Roles:         parseRoles(s),
	}
}

func parseClass(s *inifile.Section) Class {
	return Class{
		Name:        s.Name,
		Service:     s.Required("service"),
		Match:       s.List("match"),
		Idempotent:  s.Bool("idempotent", false),
		Deadline:    s.Duration("deadline", DefaultDeadline, time.Millisecond, maxDeadline),
		Priority:    s.Int("priority", 0, 0, maxPriority),
		RetryWindow: s.Duration("retry_window", DefaultRetryWindow, time.Second, maxRetryWindow),
		HedgeAt:     s.Float("hedge_at", 0, 0, 0.9999),
	}
}

func (p *parser) parseCaller(s *inifile.Section) Caller {
	return Caller{
		Name:      s.Name,
		Agency:    s.Required("agency"),
		Weight:    s.Float("weight", 1, minPositive, maxWeight),
		KeySHA256: p.parseDigest(s, "key_sha256"),
		RateLimit: s.Float("rate_limit", 0, 0, maxRateLimit),
		Burst:     s.Int("burst", 0, 0, maxCount),
	}
}

func (p *parser) parseFeed(s *inifile.Section) Feed {
	return Feed{
		Name:            s.Name,
		Service:         s.Required("service"),
		Business:        s.Required("business"),
		Model:           s.Required("model"),
		Scorer:          s.String("scorer", ""),
		TrainerSHA256:   p.parseDigest(s, "trainer_sha256"),
		StalenessBound:  s.Int("staleness_bound", 0, 0, maxCount),
		StalenessTime:   s.Duration("staleness_time", 0, 0, maxStalenessTime),
		GroupSize:       s.Int("group_size", 1, 1, maxCount),
		GroupsPerStep:   s.Int("groups_per_step", 1, 1, maxCount),
		LotSize:         s.Int("lot_size", 1, 1, maxCount),
		MaxTokens:       s.Int("max_tokens", DefaultMaxTokens, 1, maxCount),
		WeightIdle:      s.Float("weight_idle", 1, 0, maxWeight),
		WeightStaleness: s.Float("weight_staleness", 1, 0, maxWeight),
		SpareSamples:    s.Int("spare_samples", 0, 0, maxCount),
		Share:           s.Float("share", 1, minPositive, 1),
		Prompts:         s.Repeated("prompt"),
	}
}

// digestPattern is the form of a SHA-256 in hexadecimal.
var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// parseDigest returns the SHA-256 of a key. Each digest must be unique, because two
// holders of the same key cannot be told apart.
func (p *parser) parseDigest(s *inifile.Section, key string) string {
	value := s.Required(key)
	if value == "" {
		return ""
	}
	if !digestPattern.MatchString(value) {
		s.AddFinding(key, "not the 64 lower-case hexadecimal digits of a SHA-256")
		return ""
	}
	id := s.Kind + " " + s.Name
	if holder, duplicate := p.digests[value]; duplicate {
		s.AddFinding(key, "is the key of %s already", holder)
	}
	p.digests[value] = id
	return value
}
