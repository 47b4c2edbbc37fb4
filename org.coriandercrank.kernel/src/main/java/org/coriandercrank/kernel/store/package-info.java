/** Interface of the platform's object store, and the encoding of stored objects. */
package org.coriandercrank.kernel.store;
