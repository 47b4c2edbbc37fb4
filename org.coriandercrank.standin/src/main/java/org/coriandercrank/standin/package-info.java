/** Stand-ins for the platform's object store and for a keyed backend server. */
package org.coriandercrank.standin;
