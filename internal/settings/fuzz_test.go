package settings_test

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"siskinloom.example/siskinloom/internal/inifile"
	"siskinloom.example/siskinloom/internal/settings"
)

// FuzzParse guards against files that end the process, errors without a place in the file, and values
// out of bounds that are taken.
func FuzzParse(f *testing.F) {
	f.Add([]byte(agentINI))
	f.Add([]byte(strings.ReplaceAll(agentINI, "role = agent", "role = entry")))
	f.Add([]byte("[membership]\nheartbeat = 9999999h\n[platform]\ncalls_per_second = NaN\n"))
	f.Add([]byte("[process\n= x\nid = \"\"\"a\nb\"\"\"\n[process]\nid\r\n\x00[tls]"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := settings.Parse("f.ini", text)
		if err != nil {
			checkPlaces(t, err, bytes.Count(text, []byte("\n"))+1)
			return
		}
		for _, address := range []string{s.InnerAddress, s.MetricsAddress, s.PlatformAddress} {
			if _, err := netip.ParseAddrPort(address); err != nil {
				t.Errorf("address %q: %v", address, err)
			}
		}
		if s.Role != settings.RoleEntry && s.Role != settings.RoleAgent || s.ID == "" || s.Deployment == "" || s.FailureDomain == "" {
			t.Errorf("process %+v", s)
		}
		if s.HeartbeatInterval < 10*time.Millisecond || s.HeartbeatInterval > time.Hour || s.StopTimeout < 0 || s.StopTimeout > time.Hour {
			t.Errorf("durations %v, %v", s.HeartbeatInterval, s.StopTimeout)
		}
		if !(s.CallsPerSec >= 0.1 && s.CallsPerSec <= 10_000) {
			t.Errorf("calls per second %v", s.CallsPerSec)
		}
	})
}

// checkPlaces checks that each finding says what is wrong on which of the lines.
func checkPlaces(t *testing.T, err error, lines int) {
	var all *inifile.Error
	if !errors.As(err, &all) || len(all.Findings) == 0 {
		t.Fatalf("error %T without findings", err)
	}
	for _, finding := range all.Findings {
		if finding.File != "f.ini" || finding.Message == "" || finding.Line < 1 || finding.Line > lines {
			t.Errorf("finding %+v in a file of %d lines", finding, lines)
		}
	}
}
