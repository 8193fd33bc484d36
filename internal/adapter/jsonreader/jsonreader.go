// Package jsonreader reads large JSON objects element by element, so that their text is never in memory as a whole.
package jsonreader

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

var (
	// errNotObject and errNotArray are the errors of a value or a member of another kind.
	errNotObject = errors.New("the value is not an object")
	errNotArray  = errors.New("the member is not an array")
	// errTrailing is the error of bytes after the object.
	errTrailing = errors.New("bytes after the value")
)

// ReadObject reads one JSON object from r and decodes the elements of its member, an array, one after the other. It returns the
// object without that member. As in encoding/json, the case of names does not matter, the last member of a name counts, and null
// stands for an empty object or array.
func ReadObject[E any](r io.Reader, member string) (rest []byte, elements []E, err error) {
	d := json.NewDecoder(r)
	defer func() {
		if errors.Is(err, io.EOF) {
			err = fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
		}
	}()
	others := make(map[string]json.RawMessage)
	opening, err := d.Token()
	if err != nil {
		return nil, nil, fmt.Errorf("read object: %w", err)
	}
	if opening != nil && opening != json.Delim('{') {
		return nil, nil, errNotObject
	}
	for opening != nil && d.More() {
		name, err := d.Token()
		if err != nil {
			return nil, nil, fmt.Errorf("read name: %w", err)
		}
		key, _ := name.(string) // the decoder returns no other token in the place of a name
		if strings.EqualFold(key, member) {
			elements, err = readArray[E](d)
		} else {
			var value json.RawMessage
			err = d.Decode(&value)
			others[strings.ToLower(key)] = value
		}
		if err != nil {
			return nil, nil, fmt.Errorf("read member %q: %w", key, err)
		}
	}
	if opening != nil {
		if _, err := d.Token(); err != nil {
			return nil, nil, fmt.Errorf("read end of object: %w", err)
		}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, nil, errors.Join(errTrailing, err)
	}
	rest, err = json.Marshal(others)
	return rest, elements, err
}

// readArray decodes the elements of an array.
func readArray[E any](d *json.Decoder) ([]E, error) {
	opening, err := d.Token()
	if err != nil {
		return nil, fmt.Errorf("read array: %w", err)
	}
	if opening == nil {
		return nil, nil
	}
	if opening != json.Delim('[') {
		return nil, errNotArray
	}
	var elements []E
	for d.More() {
		var e E
		if err := d.Decode(&e); err != nil {
			return nil, fmt.Errorf("read element %d: %w", len(elements), err)
		}
		elements = append(elements, e)
	}
	if _, err := d.Token(); err != nil {
		return nil, fmt.Errorf("read end of array: %w", err)
	}
	return elements, nil
}
