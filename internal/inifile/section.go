package inifile

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Section is a section of an INI file with typed accessors for its keys. An
// accessor returns the default if the key is absent. If the value is invalid, it
// adds a finding and returns the default.
type Section struct {
	Kind string // first word of the header: "service" of [service ledger]
	Name string // the rest: "ledger"

	header   string
	file     string
	section  *ini.Section
	lines    sectionLines
	read     map[string]bool
	findings *Findings
}

// Position returns the position of the section's header.
func (s *Section) Position() Position {
	return Position{File: s.file, Line: s.lines.header}
}

// KeyPosition returns the position of a key, or of the header if the key is
// absent.
func (s *Section) KeyPosition(key string) Position {
	return Position{File: s.file, Line: s.lines.line(key)}
}

// AddFinding adds a finding at the position of a key.
func (s *Section) AddFinding(key, format string, args ...any) {
	s.findings.Add(s.KeyPosition(key), "[%s] %s: "+format, append([]any{s.header, key}, args...)...)
}

// ReportUnread adds a finding for every key that was not read.
func (s *Section) ReportUnread() {
	for _, key := range s.section.Keys() {
		if !s.read[key.Name()] {
			s.AddFinding(key.Name(), "unknown key")
		}
	}
}

// raw returns the value of a key and whether the key is present. It reports a key
// that is given more than once.
func (s *Section) raw(key string) (string, bool) {
	values := s.Repeated(key)
	if len(values) > 1 {
		s.findings.Add(Position{File: s.file, Line: s.lines.secondLine(key)}, "[%s] %s: duplicate key", s.header, key)
	}
	if len(values) == 0 {
		return "", false
	}
	return strings.TrimSpace(values[0]), true
}

// Repeated returns the values of a key that may be given several times, once per
// line.
func (s *Section) Repeated(key string) []string {
	s.read[key] = true
	if !s.section.HasKey(key) {
		return nil
	}
	return s.section.Key(key).ValueWithShadows()
}

// String returns a text value.
func (s *Section) String(key, defaultValue string) string {
	value, found := s.raw(key)
	if !found {
		return defaultValue
	}
	return value
}

// Required returns a text value that must not be empty.
func (s *Section) Required(key string) string {
	value := s.String(key, "")
	if value == "" {
		s.AddFinding(key, "required")
	}
	return value
}

// OneOf returns a text value that must be one of the choices.
func (s *Section) OneOf(key, defaultValue string, choices ...string) string {
	value := s.String(key, defaultValue)
	if contains(choices, value) {
		return value
	}
	s.AddFinding(key, "%q is none of %s", value, strings.Join(choices, ", "))
	return defaultValue
}

// List returns the items of a comma-separated value.
func (s *Section) List(key string) []string {
	value, _ := s.raw(key)
	var list []string
	for _, item := range strings.Split(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			list = append(list, item)
		}
	}
	return list
}

// Int returns an integer from minValue to maxValue, both included.
func (s *Section) Int(key string, defaultValue, minValue, maxValue int) int {
	value, found := s.raw(key)
	if !found {
		return defaultValue
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		s.AddFinding(key, "%q is not a whole number", value)
		return defaultValue
	}
	if n < minValue || n > maxValue {
		s.AddFinding(key, "%d is outside %d..%d", n, minValue, maxValue)
		return defaultValue
	}
	return n
}

// Float returns a finite number from minValue to maxValue, both included.
func (s *Section) Float(key string, defaultValue, minValue, maxValue float64) float64 {
	value, found := s.raw(key)
	if !found {
		return defaultValue
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		s.AddFinding(key, "%q is not a number", value)
		return defaultValue
	}
	if n < minValue || n > maxValue {
		s.AddFinding(key, "%g is outside %g..%g", n, minValue, maxValue)
		return defaultValue
	}
	return n
}

// Duration returns a duration such as "250ms", from minValue to maxValue.
func (s *Section) Duration(key string, defaultValue, minValue, maxValue time.Duration) time.Duration {
	value, found := s.raw(key)
	if !found {
		return defaultValue
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		s.AddFinding(key, "%q is not a time span such as 250ms", value)
		return defaultValue
	}
	if d < minValue || d > maxValue {
		s.AddFinding(key, "%s is outside %s..%s", d, minValue, maxValue)
		return defaultValue
	}
	return d
}

// Bool returns a boolean value.
func (s *Section) Bool(key string, defaultValue bool) bool {
	value, found := s.raw(key)
	if !found {
		return defaultValue
	}
	b, err := strconv.ParseBool(value)
	if err != nil {
		s.AddFinding(key, "%q is neither true nor false", value)
		return defaultValue
	}
	return b
}

// Addr returns an address of the form "ip:port" with a literal IP address, or an
// empty string if the key is absent.
func (s *Section) Addr(key string) string { return s.addr(key, s.String(key, "")) }

// RequiredAddr returns an address like Addr and reports an absent or empty one.
func (s *Section) RequiredAddr(key string) string { return s.addr(key, s.Required(key)) }

func (s *Section) addr(key, value string) string {
	if value == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		s.AddFinding(key, "%q is not ip:port with the IP as a number", value)
		return ""
	}
	return value
}
