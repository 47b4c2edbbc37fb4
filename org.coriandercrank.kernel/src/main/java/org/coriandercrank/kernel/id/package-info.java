/** Value types for identifiers and positions. */
package org.coriandercrank.kernel.id;
