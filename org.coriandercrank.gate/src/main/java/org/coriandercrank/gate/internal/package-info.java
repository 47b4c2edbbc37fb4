/** Decision logic and state of the owner gate; touched only on the thread of the gate. */
package org.coriandercrank.gate.internal;
