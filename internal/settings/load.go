package settings

import (
	"time"

	"siskinloom.example/siskinloom/internal/inifile"
)

// Defaults of optional settings.
const (
	DefaultStopTimeout       = 30 * time.Second
	DefaultHeartbeatInterval = time.Second
	DefaultCallsPerSec       = 100
	DefaultMemoryMB          = 256
)

// Bounds of the limits of an entry.
const (
	minMemoryMB    = 32
	maxMemoryMB    = 1 << 20
	minDescriptors = 256
	maxDescriptors = 1 << 20
)

// maxDuration is the longest duration that a setting may have.
const maxDuration = time.Hour

// Load reads the settings file at path. The error is an *inifile.Error that
// lists every finding, including unknown keys and sections.
func Load(path string) (Settings, error) {
	var findings inifile.Findings
	file := inifile.Read(path, &findings)
	if err := findings.Err(); err != nil && len(file.Sections()) == 0 {
		return Settings{}, err
	}
	s := decode(file)
	return s, findings.Err()
}

// Parse reads settings from text. Findings refer to the text as name.
func Parse(name string, text []byte) (Settings, error) {
	var findings inifile.Findings
	s := decode(inifile.Parse(name, text, &findings))
	return s, findings.Err()
}

func decode(file *inifile.File) Settings {
	var s Settings
	decodeProcess(file.Section("process"), &s)
	decodeLimits(file.Section("limits"), &s)
	decodeListen(file.Section("listen"), &s)
	decodeEndpoint(file.Section("endpoint"), &s)
	decodePlatform(file.Section("platform"), &s)
	s.HeartbeatInterval = file.Section("membership").Duration("heartbeat", DefaultHeartbeatInterval, 10*time.Millisecond, maxDuration)
	decodeTLS(file.Section("tls"), &s.TLS)
	file.ReportUnread("process", "limits", "listen", "endpoint", "platform", "membership", "tls")
	return s
}

func decodeProcess(section *inifile.Section, s *Settings) {
	s.Role = Role(section.OneOf("role", "", string(RoleEntry), string(RoleAgent)))
	s.ID = section.Required("id")
	s.Deployment = section.Required("deployment")
	s.FailureDomain = section.Required("failure_domain")
	s.Region = section.String("region", "")
	s.LogLevel = section.OneOf("log_level", "info", "error", "warning", "info", "debug")
	s.DataDir = section.String("data_dir", "")
	s.StopTimeout = section.Duration("stop_timeout", DefaultStopTimeout, 0, maxDuration)
}

// decodeLimits reads what an entry may use, from which follows what its callers may hold.
func decodeLimits(section *inifile.Section, s *Settings) {
	if s.Role == RoleAgent {
		rejectKeys(section, "only an entry has it", "memory_mb", "descriptors")
		return
	}
	s.MemoryBytes = int64(section.Int("memory_mb", DefaultMemoryMB, minMemoryMB, maxMemoryMB)) << 20
	s.Descriptors = section.Int("descriptors", 0, 0, maxDescriptors)
	if s.Descriptors > 0 && s.Descriptors < minDescriptors {
		section.AddFinding("descriptors", "%d is less than %d", s.Descriptors, minDescriptors)
	}
}

func decodeListen(section *inifile.Section, s *Settings) {
	s.InnerAddress = section.RequiredAddr("inner")
	s.MetricsAddress = section.RequiredAddr("metrics")
	if s.Role != RoleAgent {
		s.HTTPAddress = section.RequiredAddr("http")
		s.GRPCAddress = section.RequiredAddr("grpc")
		return
	}
	rejectKeys(section, "only an entry has it", "http", "grpc")
}

func decodeEndpoint(section *inifile.Section, s *Settings) {
	if s.Role == RoleAgent {
		s.Service = section.Required("service")
		s.EndpointAddress = section.RequiredAddr("address")
		return
	}
	rejectKeys(section, "only an agent has it", "service", "address")
}

// rejectKeys adds a finding with the reason for each of the keys that is set.
func rejectKeys(section *inifile.Section, reason string, keys ...string) {
	for _, key := range keys {
		if section.String(key, "") != "" {
			section.AddFinding(key, "%s", reason)
		}
	}
}

// decodePlatform reads the [platform] section. It rejects TLS settings without a
// certificate authority, because TLS is off then and the process would send
// plain text although its operator configured TLS.
func decodePlatform(section *inifile.Section, s *Settings) {
	s.PlatformAddress = section.RequiredAddr("address")
	s.CallsPerSec = section.Float("calls_per_second", DefaultCallsPerSec, 0.1, 10000)
	t := &s.PlatformTLS
	t.CA = section.String("ca", "")
	t.Cert = section.String("cert", "")
	t.Key = section.String("key", "")
	t.ServerName = section.String("server_name", "")
	if (t.Cert == "") != (t.Key == "") {
		section.AddFinding("cert", "cert and key go together")
	}
	for _, key := range []string{"cert", "key", "server_name"} {
		if t.CA == "" && section.String(key, "") != "" {
			section.AddFinding(key, "needs ca; without it connections to the platform are not encrypted")
		}
	}
}

// decodeTLS reads the [tls] section. It rejects incomplete sets of files, because
// a process without the certificate that its operator configured would send
// plain text.
func decodeTLS(section *inifile.Section, t *TLS) {
	t.CallerCert = section.String("caller_cert", "")
	t.CallerKey = section.String("caller_key", "")
	t.InnerCert = section.String("inner_cert", "")
	t.InnerKey = section.String("inner_key", "")
	t.InnerCA = section.String("inner_ca", "")
	if (t.CallerCert == "") != (t.CallerKey == "") {
		section.AddFinding("caller_cert", "caller_cert and caller_key go together")
	}
	inner := t.InnerCert != ""
	if (t.InnerKey != "") != inner || (t.InnerCA != "") != inner {
		section.AddFinding("inner_cert", "inner_cert, inner_key and inner_ca go together")
	}
}
