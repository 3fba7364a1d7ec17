// Package settings reads the settings of a siskinloomd process from its INI
// file: its role, addresses, failure domain, platform and certificates.
package settings

import "time"

// Role is the kind of a process.
type Role string

// The roles of siskinloomd.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Settings are the settings of one process. Addresses have the form "ip:port"
// with a literal IP address, not a host name.
type Settings struct {
	Role          Role
	ID            string // instance ID, unique in the deployment
	Deployment    string
	FailureDomain string
	Region        string
	LogLevel      string
	DataDir       string        // empty: the instance stores nothing on disk
	StopTimeout   time.Duration // limit of the time that a stop waits for running requests

	MemoryBytes int64 // what the process may use; entries only
	Descriptors int   // most that may be open; 0: the limit of the operating system; entries only

	InnerAddress    string // address of the inner protocol among entries and agents
	HTTPAddress     string // address for callers; entries only
	GRPCAddress     string // address for operators and trainers; entries only
	MetricsAddress  string // address of metrics, health and readiness
	PlatformAddress string // address of the key-value service, the instance list and the weight store

	Service         string // service of the endpoint; agents only
	EndpointAddress string // address of the endpoint; agents only

	HeartbeatInterval time.Duration // interval between two heartbeats
	CallsPerSec       float64       // limit of this process's key-value calls per second

	TLS         TLS
	PlatformTLS PlatformTLS
}

// PlatformTLS holds the paths of the files for connections to the platform. TLS
// is off if all are empty.
type PlatformTLS struct {
	CA         string // authority that signs the platform's certificate
	Cert, Key  string // client certificate presented to the platform; empty: none
	ServerName string // name in the platform's certificate; empty: the IP of its address
}

// TLS holds the paths of certificate and key files. TLS is off if all are empty.
type TLS struct {
	CallerCert, CallerKey string // presented to callers, trainers and operators
	InnerCert, InnerKey   string // this process's certificate, presented to its peers
	InnerCA               string // authority that signs the certificates of all peers of the deployment
}
