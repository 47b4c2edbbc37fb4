/** HTTP adapters of the object store and the backend server. */
package org.coriandercrank.adapters;
