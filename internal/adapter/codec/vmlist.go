package codec

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// EncodeVMList returns the VM list in the form that is relayed: one JSON array per line, sorted by name. Each line is
// one VM, so that a change of one VM changes one line only.
func EncodeVMList(vms []platformclient.VM) []byte {
	sorted := slices.SortedFunc(slices.Values(vms), func(a, b platformclient.VM) int { return cmp.Compare(a.Name, b.Name) })
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	for _, vm := range sorted {
		line := []string{
			string(vm.Name), string(vm.Role), string(vm.Zone), string(vm.Region), string(vm.State), vm.Address,
			string(vm.Service), string(vm.Target),
		}
		if err := enc.Encode(line); err != nil {
			panic("invariant list-form: every VM list can be encoded: " + err.Error())
		}
	}
	return out.Bytes()
}

// DecodeVMList reads a VM list in the form of EncodeVMList.
func DecodeVMList(data []byte) ([]platformclient.VM, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	var vms []platformclient.VM
	for dec.More() {
		var f [8]string
		if err := dec.Decode(&f); err != nil {
			return nil, fmt.Errorf("decode VM list: %w", err)
		}
		vms = append(vms, platformclient.VM{
			Name: identifier.Node(f[0]), Role: platformclient.Role(f[1]), Zone: identifier.Zone(f[2]),
			Region: identifier.Region(f[3]), State: platformclient.State(f[4]), Address: f[5],
			Service: identifier.Service(f[6]), Target: identifier.Target(f[7]),
		})
	}
	return vms, nil
}
