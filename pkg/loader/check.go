package loader

import (
	"net"
	"net/url"
	"strconv"

	"go.yaml.in/yaml/v3"
)

// checker collects the faults of settings, with the lines of their fields.
type checker struct {
	file     string
	root     *yaml.Node
	problems []Problem
}

// check adds the faults of settings for a role.
func (c *checker) check(s Settings, role Role) {
	c.oneOf("log", s.Log, "", "debug", "info", "warn", "error")
	if s.Workers < 0 {
		c.add("workers", "a number of zero or more")
	}
	if s.Period < 0 {
		c.add("period", "a duration of zero or more")
	}
	if s.Orders.Enabled && s.Orders.Capacity <= 0 {
		c.add("orders.capacity", "the number of attempts that keep a target just busy")
	}
	if s.Usage.Window < 0 || s.Usage.Grace < 0 || s.Usage.Flush < 0 {
		c.add("usage", "durations of zero or more")
	}
	switch role {
	case RoleEntry:
		c.checkNode(s)
		c.address("callers", s.Callers)
		c.address("operators", s.Operators)
		c.url("store", s.Store)
		c.url("platform", s.Platform)
		c.required("pepper", s.Pepper, "the file with the secret under which keys are hashed")
	case RoleAgent:
		c.checkNode(s)
		c.checkTarget(s.Target)
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
	names := make(map[string]bool)
	for i, vm := range s.VMs {
		field := "standin.vms[" + strconv.Itoa(i) + "]"
		c.required(field+".name", vm.Name, "the name of the VM")
		if names[vm.Name] {
			c.add(field+".name", "a name that occurs once")
		}
		names[vm.Name] = true
		c.required(field+".zone", vm.Zone, "the availability zone of the VM")
		c.required(field+".region", vm.Region, "the region of the availability zone")
		c.oneOf(field+".role", vm.Role, "entry", "target")
		c.oneOf(field+".state", vm.State, "live", "leaving", "stopped")
		c.address(field+".address", vm.Address)
	}
}

func (c *checker) add(field, want string) {
	c.problems = append(c.problems, Problem{File: c.file, Line: lineOf(c.root, field), Field: field, Want: want})
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

func (c *checker) url(field, value string) {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.add(field, "a URL such as http://127.0.0.1:2379")
	}
}
