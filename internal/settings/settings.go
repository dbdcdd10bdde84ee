// Package settings reads and validates the static settings of one daemon. They
// come from a JSON file, and a change takes effect after a restart. Package
// config holds the configuration that operators change at run time.
//
// settings.go defines the types, load.go reads the file, check.go validates it,
// and schema.go generates the JSON Schema in docs/settings.schema.json.
package settings

// Settings are the static settings of one daemon. The struct tags define the
// JSON Schema: the description of a field, its default, its format (form) and
// its allowed values.
type Settings struct {
	VM           string    `json:"vm" doc:"name of this VM, unique over all data centres" form:"name"`
	DataCentre   string    `json:"data_centre" doc:"data centre of this VM" form:"name"`
	Region       string    `json:"region,omitempty" doc:"region of the data centre" form:"name"`
	Cell         string    `json:"cell" doc:"cell of this VM" form:"name"`
	Listen       Listen    `json:"listen" doc:"listeners' addresses"`
	Advertise    string    `json:"advertise,omitempty" doc:"address by which other daemons reach the inner listener; default: listen.inner" form:"address"`
	Registry     *Registry `json:"registry,omitempty" doc:"set on the VMs with a disk that vote in the registry; absent elsewhere"`
	Seeds        []string  `json:"seeds,omitempty" doc:"inner addresses of registry voters, from which a daemon without a registry learns the configuration" form:"address"`
	LogLevel     string    `json:"log_level,omitempty" doc:"least level of the lines that are logged" default:"info" enum:"debug,info,warn,error"`
	Operators    Operators `json:"operators,omitzero" doc:"who counts as an operator"`
	InnerTLS     TLS       `json:"inner_tls,omitzero" doc:"mutual TLS between daemons"`
	OperatorsTLS TLS       `json:"operators_tls,omitzero" doc:"TLS of the operators' listener"`
	StopSettleMS int       `json:"stop_settle_ms,omitempty" doc:"milliseconds for which a planned stop keeps the callers' listener open after readiness went off" default:"2000"`
	Bootstrap    Bootstrap `json:"bootstrap,omitzero" doc:"configuration of the registry's first start; ignored once the registry holds any"`
}

// Listen holds the address of each listener.
type Listen struct {
	Callers   string `json:"callers" doc:"callers' requests" form:"address"`
	Targets   string `json:"targets" doc:"targets' announcements" form:"address"`
	Inner     string `json:"inner" doc:"other daemons" form:"address"`
	Operators string `json:"operators" doc:"operators' calls" form:"address"`
	Metrics   string `json:"metrics" doc:"metrics, liveness and readiness" form:"address"`
}

// Registry holds the settings of a registry voter.
type Registry struct {
	DataFolder string `json:"data_folder" doc:"folder on the disk that holds the log and the snapshots" form:"path"`
}

// Methods of authenticating operators; values of Operators.Auth.
const (
	AuthToken       = "token"
	AuthCertificate = "certificate"
	AuthEither      = "token or certificate"
	AuthOff         = "off on loopback"
)

// Operators configures the authentication of operators.
type Operators struct {
	Auth          string   `json:"auth,omitempty" doc:"how operators are authenticated; off only where listen.operators is a loopback address" default:"token" enum:"token,certificate,token or certificate,off on loopback"`
	TokenHashes   []string `json:"token_hashes,omitempty" doc:"SHA-256 of each token that is accepted, in hexadecimal digits; comfreynotch token makes one" form:"sha256"`
	TokenHashFile string   `json:"token_hash_file,omitempty" doc:"file with one such hash a line; the first start makes a token if the file is absent, shows it once and stores its hash" form:"path"`
}

// PlainTextAllowed is the value of TLS.PlainText that permits a listener without
// TLS on an address that is not loopback.
const PlainTextAllowed = "allowed"

// TLS names the key files of a listener and its clients. Either all three files
// are set or none. A running daemon reloads them when they change.
type TLS struct {
	CertificateFile string `json:"certificate_file,omitempty" doc:"PEM certificate of this VM" form:"path"`
	KeyFile         string `json:"key_file,omitempty" doc:"PEM private key of the certificate" form:"path"`
	AuthorityFile   string `json:"authority_file,omitempty" doc:"PEM certificates of the authorities that sign the other side" form:"path"`
	PlainText       string `json:"plain_text,omitempty" doc:"permits plain text on an address that is not loopback" enum:"allowed"`
}

// Enabled reports whether key files are set.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

// Bootstrap is the initial configuration of a new registry.
type Bootstrap struct {
	Voters []Peer          `json:"voters,omitempty" doc:"first members of the registry, the same on each of them"`
	Cells  []BootstrapCell `json:"cells,omitempty" doc:"first cells, with their data centres"`
}

// Peer is a VM and the address of its inner listener.
type Peer struct {
	VM    string `json:"vm" doc:"name of the VM" form:"name"`
	Inner string `json:"inner" doc:"address of its inner listener" form:"address"`
}

// BootstrapCell is one cell of the first configuration.
type BootstrapCell struct {
	Name       string `json:"name" doc:"name of the cell" form:"name"`
	DataCentre string `json:"data_centre" doc:"its data centre" form:"name"`
	Region     string `json:"region,omitempty" doc:"region of the data centre" form:"name"`
	Members    []Peer `json:"members" doc:"its VMs"`
}

// Default returns the settings of a single daemon on loopback that has all roles.
func Default() *Settings {
	s := &Settings{
		VM: "vm-1", DataCentre: "local", Cell: "local", LogLevel: "info",
		Listen: Listen{
			Callers: "127.0.0.1:7800", Targets: "127.0.0.1:7801", Inner: "127.0.0.1:7802",
			Operators: "127.0.0.1:7803", Metrics: "127.0.0.1:7804",
		},
		Advertise: "127.0.0.1:7802",
		Operators: Operators{Auth: AuthOff},
	}
	s.Bootstrap.Cells = []BootstrapCell{{
		Name: "local", DataCentre: "local", Members: []Peer{{VM: "vm-1", Inner: "127.0.0.1:7802"}},
	}}
	return s
}
