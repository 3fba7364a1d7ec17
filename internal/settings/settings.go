// Package settings reads a process's settings: the INI file that tells a
// siskinloomd its role, addresses, failure domain and platform.
package settings

import "time"

// Role is what a process does.
type Role string

// The roles of siskinloomd.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Settings are one process's settings. Addresses are "ip:port" with the IP as
// a number.
type Settings struct {
	Role          Role
	ID            string // instance id, unique in the deployment
	Deployment    string
	FailureDomain string
	Region        string
	LogLevel      string
	DataDir       string // empty: the instance keeps nothing
	StopTimeout   time.Duration

	Inner    string // inner protocol, entries and agents
	HTTP     string // callers; entries only
	GRPC     string // operators and trainers; entries only
	Metrics  string // metrics, health and readiness
	Platform string // key-value service, instance list, weight store

	Service  string // agents only
	Endpoint string // agents only

	HeartbeatInterval   time.Duration // interval between heartbeats
	CallsPerSec float64       // this process's budget of key-value calls

	TLS         TLS
	PlatformTLS PlatformTLS
}

// PlatformTLS names the files for connections to the platform; all empty turns
// TLS off.
type PlatformTLS struct {
	CA         string // that signs the platform's certificate
	Cert, Key  string // presented to the platform; empty: none
	ServerName string // in the platform's certificate; empty: the IP of its address
}

// TLS names the files of certificates and keys; all empty turns TLS off.
type TLS struct {
	CallerCert, CallerKey string // towards callers, trainers and operators
	InnerCert, InnerKey   string // this process's own, presented to its peers
	InnerCA               string // that signs every peer of the deployment
}
