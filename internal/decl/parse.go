package decl

import (
	"regexp"
	"time"

	"siskinloom.example/siskinloom/internal/inifile"
)

// Source is one declaration file with its text.
type Source struct {
	Name string
	Text string
}

// Limits of declared values.
const (
	maxWeight    = 1000
	maxSlots     = 4096
	maxQueue     = 1 << 20
	maxBody      = 64 << 20
	maxDeadline  = time.Hour
	maxRetry     = 24 * time.Hour
	maxStaleTime = 24 * time.Hour
	maxCount     = 1 << 20
	maxRate      = 1e6
	maxPriority  = 100
	minPositive  = 1e-6
)

// Defaults of values that need not be declared.
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

// parser gathers the objects of all files and where they stand.
type parser struct {
	deployment Deployment
	findings   inifile.Findings
	sections   map[string]*inifile.Section // by "kind name"
	digests    map[string]string           // key digest -> "kind name"
}

// Parse reads declarations as a whole. The deployment is usable only if there
// are no findings; the findings are sorted by place.
func Parse(files []Source) (*Deployment, []inifile.Finding) {
	p := &parser{sections: map[string]*inifile.Section{}, digests: map[string]string{}}
	for _, file := range files {
		p.file(inifile.Parse(file.Name, []byte(file.Text), &p.findings))
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

func (p *parser) file(file *inifile.File) {
	for _, s := range file.Sections() {
		id := s.Kind + " " + s.Name
		if earlier, taken := p.sections[id]; taken {
			place := earlier.Position()
			p.findings.Add(s.Position(), "%s stands already in %s:%d", id, place.File, place.Line)
			continue
		}
		p.sections[id] = s
		if s.Kind != "deployment" && !namePattern.MatchString(s.Name) {
			p.findings.Add(s.Position(), "[%s] wants a name of letters, digits, '.', '_' and '-'", s.Kind)
		}
		p.section(s)
		s.ReportUnread()
	}
}

func (p *parser) section(s *inifile.Section) {
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
		d.Callers = append(d.Callers, p.caller(s))
	case "feed":
		d.Feeds = append(d.Feeds, p.feed(s))
	case "operator":
		d.Operators = append(d.Operators, Operator{Name: s.Name, KeySHA256: p.digest(s, "key_sha256")})
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
		QueueLimit:    s.Int("queue_limit", DefaultQueueLimit, 1, maxQueue),
		CapacityFloor: s.Float("capacity_floor", DefaultCapacityFloor, 0, 1),
		MaxBodyBytes:  s.Int("max_body_bytes", DefaultMaxBodyBytes, 1, maxBody),
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
		RetryWindow: s.Duration("retry_window", DefaultRetryWindow, time.Second, maxRetry),
		HedgeAt:     s.Float("hedge_at", 0, 0, 0.9999),
	}
}

func (p *parser) caller(s *inifile.Section) Caller {
	return Caller{
		Name:      s.Name,
		Agency:    s.Required("agency"),
		Weight:    s.Float("weight", 1, minPositive, maxWeight),
		KeySHA256: p.digest(s, "key_sha256"),
		RateLimit: s.Float("rate_limit", 0, 0, maxRate),
		Burst:     s.Int("burst", 0, 0, maxCount),
	}
}

func (p *parser) feed(s *inifile.Section) Feed {
	return Feed{
		Name:            s.Name,
		Service:         s.Required("service"),
		Business:        s.Required("business"),
		Model:           s.Required("model"),
		Scorer:          s.String("scorer", ""),
		TrainerSHA256:   p.digest(s, "trainer_sha256"),
		StalenessBound:  s.Int("staleness_bound", 0, 0, maxCount),
		StalenessTime:   s.Duration("staleness_time", 0, 0, maxStaleTime),
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

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// digest reads the SHA-256 of a key. Two holders of one key could not be told
// apart, so a digest may stand only once.
func (p *parser) digest(s *inifile.Section, key string) string {
	value := s.Required(key)
	if value == "" {
		return ""
	}
	if !digestPattern.MatchString(value) {
		s.AddFinding(key, "not the 64 lower-case hexadecimal digits of a SHA-256")
		return ""
	}
	id := s.Kind + " " + s.Name
	if holder, taken := p.digests[value]; taken {
		s.AddFinding(key, "is the key of %s already", holder)
	}
	p.digests[value] = id
	return value
}
