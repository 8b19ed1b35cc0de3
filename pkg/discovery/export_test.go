package discovery

// Pack returns a document as peers give it, and its digest.
func Pack(d Document) (digest string, data []byte) {
	p, err := pack(d)
	if err != nil {
		panic(err)
	}
	return p.digest, p.data
}
