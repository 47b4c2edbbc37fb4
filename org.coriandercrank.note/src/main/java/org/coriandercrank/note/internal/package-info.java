/** Field tables and the overlay of note entries on the configuration. */
package org.coriandercrank.note.internal;
