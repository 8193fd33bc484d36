package container

// Table is a map guarded by one ranked lock. The zero value is an empty table.
type Table[R Ranked, K comparable, V any] struct {
	lock Lock[R]
	rows map[K]V
}

// Get returns the row of k and whether there is one.
func (t *Table[R, K, V]) Get(k K) (V, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	v, ok := t.rows[k]
	return v, ok
}

// Put sets the row of k.
func (t *Table[R, K, V]) Put(k K, v V) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.put(k, v)
}

// PutAbsent sets the row of k unless there is one. It returns the resulting row and whether v was stored.
func (t *Table[R, K, V]) PutAbsent(k K, v V) (V, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if old, ok := t.rows[k]; ok {
		return old, false
	}
	t.put(k, v)
	return v, true
}

// Update replaces the row of k by the result of f for the current row. f runs under the lock; a false keep deletes the
// row.
func (t *Table[R, K, V]) Update(k K, f func(old V, ok bool) (v V, keep bool)) {
	t.lock.Lock()
	defer t.lock.Unlock()
	old, ok := t.rows[k]
	v, keep := f(old, ok)
	if !keep {
		delete(t.rows, k)
		return
	}
	t.put(k, v)
}

// Delete removes the row of k and returns it.
func (t *Table[R, K, V]) Delete(k K) (V, bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	v, ok := t.rows[k]
	delete(t.rows, k)
	return v, ok
}

// Len returns the number of rows.
func (t *Table[R, K, V]) Len() int {
	t.lock.Lock()
	defer t.lock.Unlock()
	return len(t.rows)
}

// Each calls f for every row under the lock until f returns false. The order is not defined.
func (t *Table[R, K, V]) Each(f func(K, V) bool) {
	t.lock.Lock()
	defer t.lock.Unlock()
	for k, v := range t.rows {
		if !f(k, v) {
			return
		}
	}
}

// Values returns all rows in a new slice. The order is not defined.
func (t *Table[R, K, V]) Values() []V {
	t.lock.Lock()
	defer t.lock.Unlock()
	vs := make([]V, 0, len(t.rows))
	for _, v := range t.rows {
		vs = append(vs, v)
	}
	return vs
}

func (t *Table[R, K, V]) put(k K, v V) {
	if t.rows == nil {
		t.rows = make(map[K]V)
	}
	t.rows[k] = v
}
