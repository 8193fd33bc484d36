package rig

import (
	_ "embed"
	"encoding/json"
)

// wireText holds the platform's names. They stand beside the code because no Go file outside platform/ names them.
//
//go:embed wire.json
var wireText []byte

// Names are paths and headers of the platform.
type Names struct {
	ReadKey, ReadRange, Watch, Transaction, Grant, Renew, Revoke string
	Report, Order, Lots                                          string
	Expected, Stamp                                              string
}

// Wire returns the platform's names.
func Wire() Names { return wire }

var wire = readNames()

func readNames() Names {
	var n Names
	if err := json.Unmarshal(wireText, &n); err != nil {
		panic(err)
	}
	return n
}
