package discovery

// Pack returns the compressed form of a document, as sent to peers, and its digest.
func Pack(d Document) (digest string, data []byte) {
	p, err := pack(d)
	if err != nil {
		panic(err)
	}
	return p.digest, p.data
}

// BehindGrace exports behindGrace.
const BehindGrace = behindGrace
