package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"

	"carawaycart"
	"carawaycart/core/config"
)

// Limits of the settings [threads] fabric and [limits] graceSeconds, and the common
// upper limit of [limits] coldOverrun and coldSlack.
const (
	minThreads = 1
	maxThreads = 64

	minGraceSeconds = 0.001
	maxGraceSeconds = 600
	maxColdSetting  = 1000
)

// Settings holds the settings of one instance.
type Settings struct {
	ID              carawaycart.InstanceID
	Zone            carawaycart.ZoneID
	FabricAddress   netip.AddrPort   // UDP address for packets from the fabric
	RequestAddress  netip.AddrPort   // TCP address for callers' requests; set only for FormatGeneve
	PeerAddress     netip.AddrPort   // TCP address for calls and UDP address for packets of peers
	OperatorAddress netip.AddrPort   // TCP address for operators and metrics over HTTP
	StoreURL        string           // URL of the platform's store
	InstanceListURL string           // URL of the platform's instance list; set only for FormatGeneve
	Seeds           []netip.AddrPort // peer addresses of instances through which this one joins
	FabricThreads   int              // number of threads that forward packets

	Format Format

	// The fields below are set only for FormatToken.

	ReadyAddress netip.AddrPort     // TCP address of the HTTP readiness check of the fabric
	GraceMillis  carawaycart.Millis // time from SIGTERM until the instance is killed
	FirstStart   bool               // first start of the whole fleet, so seeds get more time to answer
	// The limit on the new flows per second of a cold endpoint is ColdOverrun times
	// ServicePolicy.ColdRequestRate, plus ColdSlack.
	ColdOverrun float64
	ColdSlack   float64
}

// Format is the encapsulation of packets by the fabric.
type Format string

// The formats.
const (
	FormatGeneve Format = "geneve" // Geneve; the owner of a flow is found by its slot and record
	FormatToken  Format = "token"  // packets carry a token, which identifies the owner of a flow
)

// Fault describes an error in a settings file.
type Fault struct {
	File    string
	Section string
	Key     string // empty if the fault concerns the whole section
	Problem string
}

// String returns f as a single line.
func (f Fault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("%s: [%s]: %s", f.File, f.Section, f.Problem)
	}
	return fmt.Sprintf("%s: [%s] %s: %s", f.File, f.Section, f.Key, f.Problem)
}

// FaultsError is the list of all faults of a file. It matches errors.NotValid.
type FaultsError []Fault

// Error returns one line per fault.
func (e FaultsError) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is errors.NotValid.
func (e FaultsError) Is(target error) bool { return target == error(errors.NotValid) }

// Field describes one setting.
type Field struct {
	Section    string
	Key        string
	Meaning    string
	Default    string // value if the setting is absent; empty means none
	Required   bool
	OnlyFormat Format // only format whose files may have the setting; empty means all
	set        func(*Settings, string) error
}

// Fields returns the descriptions of all settings in the order of a settings file.
func Fields() []Field { return slices.Clone(fields) }

// fields lists all settings in the order in which they are read. The format must
// precede the settings that are valid only with one format.
var fields = []Field{
	{
		Section: "instance", Key: "id", Meaning: "Name of the instance, unique in the fleet and over restarts.", Required: true,
		set: func(s *Settings, v string) error {
			s.ID = carawaycart.InstanceID(v)
			return config.ValidateName(v)
		},
	},
	{
		Section: "instance", Key: "zone", Meaning: "Availability zone that the instance runs in.", Required: true,
		set: func(s *Settings, v string) error {
			s.Zone = carawaycart.ZoneID(v)
			return config.ValidateName(v)
		},
	},
	{
		Section: "fabric", Key: "format", Meaning: "How the fabric wraps packets: `geneve`, or `token` for packets that carry a token.", Default: "geneve",
		set: setFormat,
	},
	{
		Section: "listen", Key: "fabric", Meaning: "UDP address for packets from the fabric.", Required: true,
		set: addressSetter(func(s *Settings) *netip.AddrPort { return &s.FabricAddress }),
	},
	{
		Section: "listen", Key: "request", Meaning: "TCP address for HTTP requests of callers.", Required: true, OnlyFormat: FormatGeneve,
		set: addressSetter(func(s *Settings) *netip.AddrPort { return &s.RequestAddress }),
	},
	{
		Section: "listen", Key: "peer", Meaning: "TCP and UDP address for other instances; must not be a wildcard address.", Required: true,
		set: addressSetter(func(s *Settings) *netip.AddrPort { return &s.PeerAddress }),
	},
	{
		Section: "listen", Key: "operator", Meaning: "TCP address for operators and metrics over HTTP.", Required: true,
		set: addressSetter(func(s *Settings) *netip.AddrPort { return &s.OperatorAddress }),
	},
	{
		Section: "listen", Key: "ready", Meaning: "TCP address at which the fabric asks over HTTP whether to send packets.", Required: true, OnlyFormat: FormatToken,
		set: addressSetter(func(s *Settings) *netip.AddrPort { return &s.ReadyAddress }),
	},
	{
		Section: "platform", Key: "store", Meaning: "URL of the platform's key-value service.", Required: true,
		set: func(s *Settings, v string) error {
			s.StoreURL = v
			return checkURL(v)
		},
	},
	{
		Section: "platform", Key: "list", Meaning: "URL of the platform's instance list.", Required: true, OnlyFormat: FormatGeneve,
		set: func(s *Settings, v string) error {
			s.InstanceListURL = v
			return checkURL(v)
		},
	},
	{
		Section: "peers", Key: "seeds", Meaning: "Peer addresses to join by, separated by commas; with format `token` their ports are replaced by the instance's own.",
		set: setSeeds,
	},
	{
		Section: "peers", Key: "firstStart", Meaning: "`true` if the whole fleet starts for the first time; the seeds then get more time to answer.", Default: "false", OnlyFormat: FormatToken,
		set: func(s *Settings, v string) error {
			b, err := strconv.ParseBool(v)
			if err != nil {
				return errors.NotValidf("%q (want true or false)", v)
			}
			s.FirstStart = b
			return nil
		},
	},
	{
		Section: "threads", Key: "fabric", Meaning: "Threads that forward packets, 1 to 64.", Default: "2",
		set: setThreads,
	},
	{
		Section: "limits", Key: "graceSeconds", Meaning: "Seconds from SIGTERM until the instance is killed; may be a fraction.", Default: "6", OnlyFormat: FormatToken,
		set: func(s *Settings, v string) error {
			seconds, err := parseDecimal(v, minGraceSeconds, maxGraceSeconds)
			s.GraceMillis = carawaycart.Millis(seconds * 1000)
			return err
		},
	},
	{
		Section: "limits", Key: "coldOverrun", Meaning: "How many times what a cold endpoint says it bears it may be given.", Default: "1.5", OnlyFormat: FormatToken,
		set: decimalSetter(func(s *Settings) *float64 { return &s.ColdOverrun }),
	},
	{
		Section: "limits", Key: "coldSlack", Meaning: "Requests a second that a cold endpoint may be given on top.", Default: "5", OnlyFormat: FormatToken,
		set: decimalSetter(func(s *Settings) *float64 { return &s.ColdSlack }),
	},
}

// addressSetter returns a set function that parses an IP address with a port and
// stores it in field.
func addressSetter(field func(*Settings) *netip.AddrPort) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return errors.NotValidf("%q (want an IP address and a port, such as 10.0.0.1:6081)", v)
		}
		*field(s) = a
		return nil
	}
}

// decimalSetter returns a set function that parses a number from 0 to maxColdSetting
// and stores it in field.
func decimalSetter(field func(*Settings) *float64) func(*Settings, string) error {
	return func(s *Settings, v string) error {
		n, err := parseDecimal(v, 0, maxColdSetting)
		*field(s) = n
		return err
	}
}

// parseDecimal parses a number, which may be a fraction, from low to high.
func parseDecimal(v string, low, high float64) (float64, error) {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || !(n >= low && n <= high) { // also refuses NaN
		return 0, errors.NotValidf("%q (want %g to %g)", v, low, high)
	}
	return n, nil
}

func setFormat(s *Settings, v string) error {
	s.Format = Format(v)
	if s.Format != FormatGeneve && s.Format != FormatToken {
		return errors.NotValidf("%q (want %s or %s)", v, FormatGeneve, FormatToken)
	}
	return nil
}

func checkURL(v string) error {
	u, err := url.Parse(v)
	if err != nil || u.Scheme != "http" || u.Host == "" || u.Path != "" || u.RawQuery != "" {
		return errors.NotValidf("%q (want http://IP:PORT)", v)
	}
	if _, err := netip.ParseAddrPort(u.Host); err != nil {
		return errors.NotValidf("%q (want http://IP:PORT)", v)
	}
	return nil
}

func setSeeds(s *Settings, v string) error {
	if v == "" {
		return nil
	}
	for _, part := range strings.Split(v, ",") {
		a, err := netip.ParseAddrPort(strings.TrimSpace(part))
		if err != nil {
			return errors.NotValidf("%q (want IP addresses with ports, separated by commas)", v)
		}
		s.Seeds = append(s.Seeds, a)
	}
	return nil
}

func setThreads(s *Settings, v string) error {
	n, err := strconv.Atoi(v)
	if err != nil || n < minThreads || n > maxThreads {
		return errors.NotValidf("%q (want %d to %d)", v, minThreads, maxThreads)
	}
	s.FabricThreads = n
	return nil
}

// Read reads the settings file at path. The error is a FaultsError if the file can
// be read but has faults.
func Read(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Annotate(err, "read settings file")
	}
	return Parse(path, data)
}

// Parse parses the contents of a settings file. Faults refer to the file by name.
// The error is nil or a FaultsError.
func Parse(name string, data []byte) (Settings, error) {
	// AllowShadows retains the values of repeated keys, so that setField can report them.
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: true}, data)
	if err != nil {
		return Settings{}, FaultsError{{File: name, Section: "", Problem: err.Error()}}
	}
	var s Settings
	var faults FaultsError
	for _, f := range fields {
		if problem := setField(&s, file, f); problem != "" {
			faults = append(faults, Fault{File: name, Section: f.Section, Key: f.Key, Problem: problem})
		}
	}
	faults = append(faults, unknownNameFaults(name, file)...)
	faults = append(faults, peerAddressFaults(name, &s)...)
	if len(faults) > 0 {
		return s, faults
	}
	return s, nil
}

// setField sets the field of s that f describes from file, or to the default if the
// key is absent or has no value, as in a template whose field the platform does not have. It
// returns the problem with the setting, or "" if there is none.
func setField(s *Settings, file *ini.File, f Field) string {
	section := file.Section(f.Section)
	otherFormat := f.OnlyFormat != "" && s.Format != "" && f.OnlyFormat != s.Format
	var values []string
	if section.HasKey(f.Key) {
		values = section.Key(f.Key).ValueWithShadows()
	}
	if len(values) == 0 || len(values) == 1 && values[0] == "" {
		if otherFormat {
			return ""
		}
		if f.Required {
			return "missing"
		}
		if f.Default == "" {
			return ""
		}
		return problemText(f.set(s, f.Default))
	}
	if otherFormat {
		return fmt.Sprintf("valid only with format %s", f.OnlyFormat)
	}
	if len(values) > 1 {
		return fmt.Sprintf("given %d times", len(values))
	}
	return problemText(f.set(s, values[0]))
}

func problemText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// unknownNameFaults returns a fault for each unknown section and key of file, whose
// name is name.
func unknownNameFaults(name string, file *ini.File) FaultsError {
	var faults FaultsError
	for _, section := range file.Sections() {
		isKnown := slices.ContainsFunc(fields, func(f Field) bool { return f.Section == section.Name() })
		if !isKnown && section.Name() != ini.DefaultSection {
			faults = append(faults, Fault{File: name, Section: section.Name(), Problem: "unknown section"})
			continue
		}
		for _, key := range section.KeyStrings() {
			match := func(f Field) bool { return f.Section == section.Name() && f.Key == key }
			if !slices.ContainsFunc(fields, match) {
				faults = append(faults, Fault{File: name, Section: section.Name(), Key: key, Problem: "unknown key"})
			}
		}
	}
	return faults
}

// peerAddressFaults returns a fault if peers cannot connect to the peer address of s,
// which was read from the file with the given name.
func peerAddressFaults(name string, s *Settings) FaultsError {
	if s.PeerAddress.IsValid() && s.PeerAddress.Addr().IsUnspecified() {
		return FaultsError{{
			File: name, Section: "listen", Key: "peer",
			Problem: fmt.Sprintf("%s is a wildcard address, to which peers cannot connect", s.PeerAddress),
		}}
	}
	return nil
}
