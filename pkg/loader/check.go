package loader

import (
	"net"
	"net/url"
	"strconv"
	"time"
)

// checker validates settings and collects the problems, with the lines of their fields.
type checker struct {
	lines    Lines
	problems []Problem
}

// check adds the problems of settings for a role.
func (c *checker) check(s Settings, role Role) {
	c.checkOneOf("log", s.Log, "", "debug", "info", "warn", "error")
	if u, err := url.Parse(s.Trace.OTLP); s.Trace.OTLP != "" && (err != nil || u.Host == "") {
		c.add("trace.otlp", "a URL such as http://127.0.0.1:4318")
	}
	if s.Workers < 0 {
		c.add("workers", "a number of zero or more")
	}
	if s.Period < 0 {
		c.add("period", "a duration of zero or more")
	}
	if s.Orders.Enabled && s.Orders.Capacity <= 0 {
		c.add("orders.capacity", "the number of concurrent attempts that fully use a target")
	}
	if s.Linger < 0 || time.Duration(s.Linger) > MaxLinger {
		c.add("linger", "a duration from 0s to "+MaxLinger.String())
	}
	if s.Usage.Window < 0 || s.Usage.Grace < 0 || s.Usage.Flush < 0 {
		c.add("usage", "durations of zero or more")
	}
	if s.KeyGrace < 0 {
		c.add("keygrace", "a duration of zero or more")
	}
	switch role {
	case RoleEntry:
		c.checkNode(s)
		c.checkAddress("callers", s.Callers)
		c.checkAddress("operators", s.Operators)
		c.checkURL("store", s.Store)
		c.checkURL("platform", s.Platform)
		c.checkRequired("pepper", s.Pepper, "the file with the secret under which keys are hashed")
		c.checkRequired("operator", s.Operator, "the file with the bearer token of the operators")
	case RoleAgent:
		c.checkNode(s)
		c.checkOptionalAddress("operators", s.Operators)
		c.checkTarget(s.Target)
		if s.Platform != "" {
			c.checkURL("platform", s.Platform)
		}
	case RoleStandin:
		c.checkStandin(s.Standin)
	default:
		c.add("role", "one of entry, agent, standin")
	}
}

func (c *checker) checkNode(s Settings) {
	c.checkRequired("name", s.Name, "the name of the process")
	c.checkRequired("zone", s.Zone, "the availability zone of the process")
	c.checkRequired("region", s.Region, "the region of the availability zone")
	c.checkAddress("peers", s.Peers)
	if s.TLS.Plain {
		return
	}
	c.checkRequired("tls.certificate", s.TLS.Certificate, "a file, or plain: true")
	c.checkRequired("tls.key", s.TLS.Key, "a file, or plain: true")
	c.checkRequired("tls.authority", s.TLS.Authority, "a file, or plain: true")
}

// maxReleaseBytes is the longest name of a software version.
const maxReleaseBytes = 200

func (c *checker) checkTarget(t Target) {
	c.checkRequired("target.name", t.Name, "the name of the target")
	c.checkRequired("target.service", t.Service, "the service of the target")
	c.checkOneOf("target.kind", t.Kind, "model", "plain")
	c.checkURL("target.address", t.Address)
	if t.Concurrency < 0 {
		c.add("target.concurrency", "a number of zero or more")
	}
	if len(t.Release) > maxReleaseBytes {
		c.add("target.release", "at most 200 bytes")
	}
}

func (c *checker) checkStandin(s *Standin) {
	if s == nil {
		c.add("standin", "the list of stand-ins")
		return
	}
	c.checkOptionalAddress("standin.store", s.Store)
	c.checkOptionalAddress("standin.platform", s.Platform)
	names := make(map[string]bool)
	for i, vm := range s.VMs {
		field := elementPath("standin.vms", i)
		c.checkUnique(field+".name", vm.Name, "the name of the VM", names)
		c.checkRequired(field+".zone", vm.Zone, "the availability zone of the VM")
		c.checkRequired(field+".region", vm.Region, "the region of the availability zone")
		c.checkOneOf(field+".role", vm.Role, "entry", "target")
		c.checkOneOf(field+".state", vm.State, "live", "leaving", "stopped")
		c.checkAddress(field+".address", vm.Address)
	}
	targetNames := make(map[string]bool)
	c.checkStandinTargets("standin.engines", s.Engines, targetNames)
	c.checkStandinTargets("standin.services", s.Services, targetNames)
}

func (c *checker) checkStandinTargets(list string, targets []StandinTarget, names map[string]bool) {
	for i, t := range targets {
		field := elementPath(list, i)
		c.checkUnique(field+".name", t.Name, "the name of the back end", names)
		c.checkAddress(field+".address", t.Address)
		if t.Token < 0 {
			c.add(field+".token", "a duration of zero or more")
		}
	}
}

func elementPath(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

// checkUnique adds a problem if name is empty or already in names, and then adds name to names.
func (c *checker) checkUnique(field, name, want string, names map[string]bool) {
	c.checkRequired(field, name, want)
	if name != "" && names[name] {
		c.add(field, "a name that occurs once")
	}
	names[name] = true
}

func (c *checker) add(field, want string) {
	c.problems = append(c.problems, c.lines.Problem(field, want))
}

func (c *checker) checkRequired(field, value, want string) {
	if value == "" {
		c.add(field, want)
	}
}

func (c *checker) checkOneOf(field, value string, allowed ...string) {
	list := ""
	for _, a := range allowed {
		if value == a {
			return
		}
		if a != "" && list != "" {
			list += ", "
		}
		list += a
	}
	c.add(field, "one of "+list)
}

func (c *checker) checkAddress(field, value string) {
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		c.add(field, "an address such as 127.0.0.1:8080")
	}
}

func (c *checker) checkOptionalAddress(field, value string) {
	if value != "" {
		c.checkAddress(field, value)
	}
}

func (c *checker) checkURL(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.add(field, "a URL such as http://127.0.0.1:2379")
	}
}
