package config

import "jackdawswitch/strictjson"

// Decode decodes, checks and normalizes a document written by operators. It
// returns all faults as one *strictjson.Error.
func Decode(data []byte) (*Document, error) {
	return DecodeSource("", data)
}

// DecodeSource is like Decode but names the document by source in its error.
func DecodeSource(source string, data []byte) (*Document, error) {
	doc := &Document{Rules: DefaultRules()}
	decoded := strictjson.Decode(data, doc)
	if err := strictjson.Merge(source, decoded, doc.faults()); err != nil {
		return nil, err
	}
	doc.Normalize()
	return doc, nil
}

// Check returns all faults of the document as one *strictjson.Error, or nil.
func (d *Document) Check() error {
	return strictjson.Merge("", nil, d.faults())
}
