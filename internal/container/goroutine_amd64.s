//go:build lockcheck

#include "textflag.h"

// func goroutineID() uintptr
TEXT ·goroutineID(SB), NOSPLIT, $0-8
	MOVQ (TLS), AX
	MOVQ AX, ret+0(FP)
	RET
