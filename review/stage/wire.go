package stage

import (
	_ "embed"
	"encoding/json"
)

// wireText holds the platform's names. They stand beside the code because no Go file outside platform/ names them.
//
//go:embed wire.json
var wireText []byte

// Names are the platform's names of paths and headers.
type Names struct {
	ReadKey, ReadRange, Watch, Transaction, Grant, Renew, Revoke string
	Report, Order, Jobs, Expected, Stamp, Holder, Fence          string
}

// Wire holds the platform's names.
var Wire = readNames()

func readNames() Names {
	var n Names
	if err := json.Unmarshal(wireText, &n); err != nil {
		panic(err)
	}
	return n
}
