/** State machines of the ownership lease: holder, witness and taker. No threads and no I/O. */
package org.coriandercrank.lease;
