/** Value types for names, ids, versions and positions in the hash space. */
package org.coriandercrank.kernel.id;
