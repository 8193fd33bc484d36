package codec

import "github.com/mimosalb/mimosalb/internal/orderer"

// Orders encodes and decodes the stored form of orders.
type Orders struct{}

// EncodeOrderSet returns the JSON form of an order set.
func (Orders) EncodeOrderSet(s orderer.OrderSet) []byte { return encodeJSON(s) }

// DecodeOrderSet reads the JSON form of an order set.
func (Orders) DecodeOrderSet(data []byte) (orderer.OrderSet, error) {
	return decodeJSON[orderer.OrderSet](data)
}
