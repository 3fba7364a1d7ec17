package inifile

import (
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Section is one section, whose keys are read by type. A key that is absent
// gives the default; a value that cannot be read gives the default and a
// finding.
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

// Position returns where the section's header stands.
func (s *Section) Position() Position {
	return Position{File: s.file, Line: s.lines.header}
}

// KeyPosition returns where a key stands, or the header if it is absent.
func (s *Section) KeyPosition(key string) Position {
	return Position{File: s.file, Line: s.lines.line(key)}
}

// AddFinding adds a finding at a key.
func (s *Section) AddFinding(key, format string, args ...any) {
	s.findings.Add(s.KeyPosition(key), "[%s] %s: "+format, append([]any{s.header, key}, args...)...)
}

// ReportUnread adds a finding for every key that nothing asked for.
func (s *Section) ReportUnread() {
	for _, key := range s.section.Keys() {
		if !s.read[key.Name()] {
			s.AddFinding(key.Name(), "unknown key")
		}
	}
}

// raw returns the value of a key that may stand only once.
func (s *Section) raw(key string) (string, bool) {
	values := s.Repeated(key)
	if len(values) > 1 {
		s.findings.Add(Position{File: s.file, Line: s.lines.keys[key][1]}, "[%s] %s: duplicate key", s.header, key)
	}
	if len(values) == 0 {
		return "", false
	}
	return strings.TrimSpace(values[0]), true
}

// Repeated returns the values of a key that may stand several times, one per
// line.
func (s *Section) Repeated(key string) []string {
	s.read[key] = true
	if !s.section.HasKey(key) {
		return nil
	}
	return s.section.Key(key).ValueWithShadows()
}

// String reads text.
func (s *Section) String(key, absent string) string {
	value, found := s.raw(key)
	if !found {
		return absent
	}
	return value
}

// Required reads text that must not be empty.
func (s *Section) Required(key string) string {
	value := s.String(key, "")
	if value == "" {
		s.AddFinding(key, "required")
	}
	return value
}

// OneOf reads text that must be one of the choices.
func (s *Section) OneOf(key, absent string, choices ...string) string {
	value := s.String(key, absent)
	if contains(choices, value) {
		return value
	}
	s.AddFinding(key, "%q is none of %s", value, strings.Join(choices, ", "))
	return absent
}

// List reads comma-separated text.
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

// Int reads a whole number between least and most, both included.
func (s *Section) Int(key string, absent, least, most int) int {
	value, found := s.raw(key)
	if !found {
		return absent
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		s.AddFinding(key, "%q is not a whole number", value)
		return absent
	}
	if n < least || n > most {
		s.AddFinding(key, "%d is outside %d..%d", n, least, most)
		return absent
	}
	return n
}

// Float reads a finite number between least and most, both included.
func (s *Section) Float(key string, absent, least, most float64) float64 {
	value, found := s.raw(key)
	if !found {
		return absent
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) {
		s.AddFinding(key, "%q is not a number", value)
		return absent
	}
	if n < least || n > most {
		s.AddFinding(key, "%g is outside %g..%g", n, least, most)
		return absent
	}
	return n
}

// Duration reads a time span such as "250ms", between least and most.
func (s *Section) Duration(key string, absent, least, most time.Duration) time.Duration {
	value, found := s.raw(key)
	if !found {
		return absent
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		s.AddFinding(key, "%q is not a time span such as 250ms", value)
		return absent
	}
	if d < least || d > most {
		s.AddFinding(key, "%s is outside %s..%s", d, least, most)
		return absent
	}
	return d
}

// Bool reads true or false.
func (s *Section) Bool(key string, absent bool) bool {
	value, found := s.raw(key)
	if !found {
		return absent
	}
	b, err := strconv.ParseBool(value)
	if err != nil {
		s.AddFinding(key, "%q is neither true nor false", value)
		return absent
	}
	return b
}

// Addr reads "ip:port" with the IP as a number; empty if absent.
func (s *Section) Addr(key string) string {
	value, found := s.raw(key)
	if !found || value == "" {
		return ""
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		s.AddFinding(key, "%q is not ip:port with the IP as a number", value)
		return ""
	}
	return value
}

// RequiredAddr reads an address that must be there.
func (s *Section) RequiredAddr(key string) string {
	if !s.section.HasKey(key) {
		s.read[key] = true
		s.AddFinding(key, "required")
	}
	return s.Addr(key)
}
