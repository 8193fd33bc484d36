package codec

import "github.com/mimosalb/mimosalb/internal/orderer"

// Orders is the stored form of orders as a value, for parts that take the form as a parameter.
type Orders struct{}

// EncodeOrderSet returns the JSON form of a book.
func (Orders) EncodeOrderSet(b orderer.OrderSet) []byte { return encode(b) }

// DecodeOrderSet reads the JSON form of a book.
func (Orders) DecodeOrderSet(data []byte) (orderer.OrderSet, error) {
	return decode[orderer.OrderSet](data)
}
