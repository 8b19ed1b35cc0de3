package discovery

// Pack returns a document as peers give it, and its digest.
func Pack(d Document) (digest string, data []byte) {
	p, err := pack(d)
	if err != nil {
		panic(err)
	}
	return p.digest, p.data
}

// BehindGrace is how long an instance serves on that lacks a configuration.
const BehindGrace = behindGrace
