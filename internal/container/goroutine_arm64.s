//go:build lockcheck

#include "textflag.h"

// func goroutineID() uintptr
TEXT ·goroutineID(SB), NOSPLIT, $0-8
	MOVD g, R0
	MOVD R0, ret+0(FP)
	RET
