/** Decision logic and state of the owner gate; used on the thread of the gate only, unless a type says otherwise. */
package org.coriandercrank.gate.internal;
