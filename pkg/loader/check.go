package loader

import (
	"net"
	"net/url"
	"strconv"
	"time"
)

// checker collects the faults of settings, with the lines of their fields.
type checker struct {
	lines    Lines
	problems []Problem
}

// check adds the faults of settings for a role.
func (c *checker) check(s Settings, role Role) {
	c.oneOf("log", s.Log, "", "debug", "info", "warn", "error")
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
		c.add("orders.capacity", "the number of attempts that keep a target just busy")
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
		c.address("callers", s.Callers)
		c.address("operators", s.Operators)
		c.url("store", s.Store)
		c.url("platform", s.Platform)
		c.required("pepper", s.Pepper, "the file with the secret under which keys are hashed")
		c.required("operator", s.Operator, "the file with the bearer token of the operators")
	case RoleAgent:
		c.checkNode(s)
		c.optionalAddress("operators", s.Operators)
		c.checkTarget(s.Target)
		if s.Platform != "" {
			c.url("platform", s.Platform)
		}
	case RoleStandin:
		c.checkStandin(s.Standin)
	default:
		c.add("role", "one of entry, agent, standin")
	}
}

func (c *checker) checkNode(s Settings) {
	c.required("name", s.Name, "the name of the process")
	c.required("zone", s.Zone, "the availability zone of the process")
	c.required("region", s.Region, "the region of the availability zone")
	c.address("peers", s.Peers)
	if s.TLS.Plain {
		return
	}
	c.required("tls.certificate", s.TLS.Certificate, "a file, or plain: true")
	c.required("tls.key", s.TLS.Key, "a file, or plain: true")
	c.required("tls.authority", s.TLS.Authority, "a file, or plain: true")
}

func (c *checker) checkTarget(t Target) {
	c.required("target.name", t.Name, "the name of the target")
	c.required("target.service", t.Service, "the service of the target")
	c.oneOf("target.kind", t.Kind, "model", "plain")
	c.url("target.address", t.Address)
	if t.Concurrency < 0 {
		c.add("target.concurrency", "a number of zero or more")
	}
}

func (c *checker) checkStandin(s *Standin) {
	if s == nil {
		c.add("standin", "the list of stand-ins")
		return
	}
	c.optionalAddress("standin.store", s.Store)
	c.optionalAddress("standin.platform", s.Platform)
	names := make(map[string]bool)
	for i, vm := range s.VMs {
		field := index("standin.vms", i)
		c.unique(field+".name", vm.Name, "the name of the VM", names)
		c.required(field+".zone", vm.Zone, "the availability zone of the VM")
		c.required(field+".region", vm.Region, "the region of the availability zone")
		c.oneOf(field+".role", vm.Role, "entry", "target")
		c.oneOf(field+".state", vm.State, "live", "leaving", "stopped")
		c.address(field+".address", vm.Address)
	}
	backs := make(map[string]bool)
	c.checkStandinTargets("standin.engines", s.Engines, backs)
	c.checkStandinTargets("standin.services", s.Services, backs)
}

func (c *checker) checkStandinTargets(list string, targets []StandinTarget, names map[string]bool) {
	for i, t := range targets {
		field := index(list, i)
		c.unique(field+".name", t.Name, "the name of the back end", names)
		c.address(field+".address", t.Address)
		if t.Token < 0 {
			c.add(field+".token", "a duration of zero or more")
		}
	}
}

func index(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }

// unique adds a fault for a name that is empty or in names, to which it adds the name.
func (c *checker) unique(field, name, want string, names map[string]bool) {
	c.required(field, name, want)
	if name != "" && names[name] {
		c.add(field, "a name that occurs once")
	}
	names[name] = true
}

func (c *checker) add(field, want string) {
	c.problems = append(c.problems, c.lines.Problem(field, want))
}

func (c *checker) required(field, value, want string) {
	if value == "" {
		c.add(field, want)
	}
}

func (c *checker) oneOf(field, value string, allowed ...string) {
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

func (c *checker) address(field, value string) {
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		c.add(field, "an address such as 127.0.0.1:8080")
	}
}

func (c *checker) optionalAddress(field, value string) {
	if value != "" {
		c.address(field, value)
	}
}

func (c *checker) url(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.add(field, "a URL such as http://127.0.0.1:2379")
	}
}
