package codec

import (
	"encoding/json"
	"fmt"

	"github.com/mimosalb/mimosalb/internal/claimer"
)

// Claims encodes and decodes the JSON form of claims in the key-value service.
type Claims struct{}

// Encode returns the JSON form of a claim.
func (Claims) Encode(c claimer.Claim) []byte {
	data, err := json.Marshal(c)
	if err != nil {
		panic("invariant claim-form: every claim can be encoded: " + err.Error())
	}
	return data
}

// Decode reads the JSON form of a claim.
func (Claims) Decode(data []byte) (claimer.Claim, error) {
	var c claimer.Claim
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("decode claim: %w", err)
	}
	return c, nil
}
